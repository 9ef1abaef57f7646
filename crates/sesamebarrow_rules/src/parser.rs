//! Parses and checks a rule file.

use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;

use crate::args::{Args, Problem, problem, twice, unknown};
use crate::lexer::{self, Line};
use crate::model::{Customer, Domain, KeyDigest, RequestClass, Route, Rules, Service, ServiceKind};

/// A fault in a rule file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ParseError {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub message: String,
    /// Who asked for the rule, where the line says so.
    pub requester: Option<SmolStr>,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)?;
        match &self.requester {
            Some(name) => write!(f, " (asked by {name})"),
            None => Ok(()),
        }
    }
}

/// The largest rate or burst, in tokens.
///
/// Shares are kept in millionths of a token, which must fit into 63 bits.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;

/// The largest number of instance slots of one failure domain.
pub const MAX_SLOTS: u16 = 64;

const KEYWORDS: &str = "region, domain, service, customer, key, allow or route";

/// Parses `text`, returning the rules or every fault found.
pub fn parse(text: &str) -> Result<Rules, Vec<ParseError>> {
    let mut parser = Parser::default();
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let split = lexer::split_line(line);
        if !split.words.is_empty() {
            lines.push((index + 1, split));
        }
    }
    // The order of lines carries no meaning: a rule may stand above what it names.
    for pass in [Pass::Regions, Pass::Declarations, Pass::References] {
        for (number, line) in &lines {
            parser.take_line(pass, *number, line);
        }
    }
    parser.finish()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    Regions,
    Declarations,
    References,
}

impl Pass {
    /// Returns the pass in which the rule `keyword` is taken.
    fn of(keyword: &str) -> Self {
        match keyword {
            "region" => Self::Regions,
            "domain" | "service" | "customer" => Self::Declarations,
            _ => Self::References,
        }
    }
}

#[derive(Default)]
struct Parser {
    rules: Rules,
    faults: Vec<ParseError>,
}

impl Parser {
    fn take_line(&mut self, pass: Pass, number: usize, line: &Line<'_>) {
        let result = self.take_rule(pass, line);
        if let Err(found) = result {
            self.faults.push(ParseError {
                line: number,
                column: found.column,
                message: found.message,
                requester: line.requester.filter(|r| !r.is_empty()).map(SmolStr::new),
            });
        }
    }

    fn take_rule(&mut self, pass: Pass, line: &Line<'_>) -> Result<(), Problem> {
        let keyword = line.words[0];
        if Pass::of(keyword.text) != pass {
            return Ok(());
        }
        check_requester(line)?;
        let mut args = Args::new(line);
        match keyword.text {
            "region" => self.take_region(&mut args)?,
            "domain" => self.take_domain(&mut args)?,
            "service" => self.take_service(&mut args)?,
            "customer" => self.take_customer(&mut args)?,
            "key" => self.take_key(&mut args)?,
            "allow" => self.take_allow(&mut args)?,
            "route" => self.take_route(&mut args)?,
            other => {
                let message = format!("unknown rule `{other}`: expected {KEYWORDS}");
                return Err(problem(keyword.column, message));
            }
        }
        args.finish()
    }

    fn take_region(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let name = args.name("a region's name")?;
        if !self.rules.regions.insert(name.value.clone()) {
            return Err(twice(&name, "region"));
        }
        Ok(())
    }

    fn take_domain(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let name = args.name("a failure domain's name")?;
        let region = args.setting("region")?;
        let slots = args.number("slots", 1, u64::from(MAX_SLOTS))?;
        let domain = Domain {
            region: SmolStr::new(region.text),
            slots: u16::try_from(slots).unwrap_or(MAX_SLOTS),
        };
        if !self.rules.regions.contains(region.text) {
            return Err(unknown(region, "region"));
        }
        if self
            .rules
            .domains
            .insert(name.value.clone(), domain)
            .is_some()
        {
            return Err(twice(&name, "failure domain"));
        }
        Ok(())
    }

    fn take_service(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let name = args.name("a service's name")?;
        let kind = args.setting("kind")?;
        let kind = kind
            .text
            .parse::<ServiceKind>()
            .map_err(|_| problem(kind.column, "expected kind=model or kind=plain"))?;
        let cost = args.optional_number("cost", 1, u64::from(u32::MAX))?;
        let service = Service {
            kind,
            cost: cost.and_then(|c| u32::try_from(c).ok()).unwrap_or(1),
        };
        if self
            .rules
            .services
            .insert(name.value.clone(), service)
            .is_some()
        {
            return Err(twice(&name, "service"));
        }
        Ok(())
    }

    fn take_customer(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let name = args.name("a customer's name")?;
        let listed = args.setting("regions")?;
        let mut regions = BTreeSet::new();
        for region in listed.text.split(',') {
            if !self.rules.regions.contains(region) {
                let message = format!("unknown region `{region}`: expected one that is declared");
                return Err(problem(listed.column, message));
            }
            if !regions.insert(SmolStr::new(region)) {
                let message = format!("region `{region}` stands twice in the list");
                return Err(problem(listed.column, message));
            }
        }
        let customer = Customer {
            regions,
            rate: args.number("rate", 1, MAX_TOKENS)?,
            burst: args.number("burst", 1, MAX_TOKENS)?,
            services: BTreeSet::new(),
        };
        if self
            .rules
            .customers
            .insert(name.value.clone(), customer)
            .is_some()
        {
            return Err(twice(&name, "customer"));
        }
        Ok(())
    }

    fn take_key(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let customer = args.name("a customer's name")?;
        let digest = args.setting("blake3")?;
        let parsed = digest
            .text
            .parse::<KeyDigest>()
            .map_err(|_| problem(digest.column, "expected blake3= and 64 hexadecimal digits"))?;
        if !self.rules.customers.contains_key(&customer.value) {
            return Err(customer.unknown("customer"));
        }
        if self.rules.keys.insert(parsed, customer.value).is_some() {
            return Err(problem(digest.column, "this key is already given out"));
        }
        Ok(())
    }

    fn take_allow(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let customer = args.name("a customer's name")?;
        let service = args.name("a service's name")?;
        if !self.rules.services.contains_key(&service.value) {
            return Err(service.unknown("service"));
        }
        let Some(entry) = self.rules.customers.get_mut(&customer.value) else {
            return Err(customer.unknown("customer"));
        };
        if !entry.services.insert(service.value.clone()) {
            return Err(problem(service.column, "this is already allowed"));
        }
        Ok(())
    }

    fn take_route(&mut self, args: &mut Args<'_>) -> Result<(), Problem> {
        let service = args.name("a service's name")?;
        let method = args.word("an HTTP method in capitals")?;
        if !method.text.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(problem(
                method.column,
                "expected an HTTP method in capitals",
            ));
        }
        let path = args.word("a path")?;
        if !path.text.starts_with('/') {
            return Err(problem(path.column, "expected a path that begins with `/`"));
        }
        let class = args.word("idempotent, non-idempotent or open")?;
        let parsed = class
            .text
            .parse::<RequestClass>()
            .map_err(|_| problem(class.column, "expected idempotent, non-idempotent or open"))?;
        let Some(declared) = self.rules.services.get(&service.value) else {
            return Err(service.unknown("service"));
        };
        if declared.kind == ServiceKind::Model && parsed != RequestClass::Idempotent {
            let message = format!("`{parsed}` contradicts kind=model: expected idempotent");
            return Err(problem(class.column, message));
        }
        let route = Route {
            service: service.value,
            method: SmolStr::new(method.text),
            path: SmolStr::new(path.text),
            class: parsed,
        };
        let clash = self.rules.routes.iter().any(|r| {
            r.service == route.service && r.method == route.method && r.path == route.path
        });
        if clash {
            return Err(problem(path.column, "this route already has a rule"));
        }
        self.rules.routes.push(route);
        Ok(())
    }

    fn finish(mut self) -> Result<Rules, Vec<ParseError>> {
        if self.faults.is_empty() {
            self.rules
                .routes
                .sort_by_key(|r| std::cmp::Reverse((!r.path.ends_with('*'), r.path.len())));
            return Ok(self.rules);
        }
        self.faults.sort_by_key(|f| (f.line, f.column));
        Err(self.faults)
    }
}

fn check_requester(line: &Line<'_>) -> Result<(), Problem> {
    match line.requester {
        Some(name) if !name.is_empty() => Ok(()),
        _ => Err(problem(
            line.end,
            "expected a comment `# …` that names who asked for the rule",
        )),
    }
}
