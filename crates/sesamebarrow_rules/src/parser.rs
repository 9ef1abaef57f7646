//! Parses a rule file and checks that its rules fit together.

use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;

use crate::args::{Args, LineError, duplicate, error_at, undeclared};
use crate::lexer::{self, Line};
use crate::model::{Customer, Domain, KeyDigest, RequestClass, Route, Rules, Service, ServiceKind};

/// An error in a rule file or in the list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ParseError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub message: String,
    /// Who asked for the rule, if the line says so.
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
/// Instances count tokens in millionths, and the count must fit into 63 bits.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;

/// The largest number of instance slots of one failure domain.
pub const MAX_SLOTS: u16 = 64;

const EXPECTED_KEYWORDS: &str = "region, domain, service, customer, key, allow or route";

/// Parses `text` and returns the rules, or every error found.
pub fn parse(text: &str) -> Result<Rules, Vec<ParseError>> {
    let mut parser = Parser::default();
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let split = lexer::split_line(line);
        if !split.words.is_empty() {
            lines.push((index + 1, split));
        }
    }
    // The order of lines has no meaning, so a rule may precede the names that it refers
    // to. Each pass parses the rules that refer only to names of earlier passes.
    for pass in [Pass::Regions, Pass::Declarations, Pass::References] {
        for (line_number, line) in &lines {
            parser.parse_line(pass, *line_number, line);
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
    /// Returns the pass that parses the rule `keyword`.
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
    errors: Vec<ParseError>,
}

impl Parser {
    fn parse_line(&mut self, pass: Pass, line_number: usize, line: &Line<'_>) {
        let result = self.parse_rule(pass, line);
        if let Err(error) = result {
            self.errors.push(ParseError {
                line: line_number,
                column: error.column,
                message: error.message,
                requester: line.requester.filter(|r| !r.is_empty()).map(SmolStr::new),
            });
        }
    }

    fn parse_rule(&mut self, pass: Pass, line: &Line<'_>) -> Result<(), LineError> {
        let keyword = line.words[0];
        if Pass::of(keyword.text) != pass {
            return Ok(());
        }
        check_requester(line)?;
        let mut args = Args::new(line);
        match keyword.text {
            "region" => self.parse_region(&mut args)?,
            "domain" => self.parse_domain(&mut args)?,
            "service" => self.parse_service(&mut args)?,
            "customer" => self.parse_customer(&mut args)?,
            "key" => self.parse_key(&mut args)?,
            "allow" => self.parse_allow(&mut args)?,
            "route" => self.parse_route(&mut args)?,
            other => {
                let message = format!("unknown rule `{other}`: expected {EXPECTED_KEYWORDS}");
                return Err(error_at(keyword.column, message));
            }
        }
        args.finish()
    }

    fn parse_region(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let name = args.next_name("a region's name")?;
        if !self.rules.regions.insert(name.value.clone()) {
            return Err(duplicate(&name, "region"));
        }
        Ok(())
    }

    fn parse_domain(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let name = args.next_name("a failure domain's name")?;
        let region = args.setting("region")?;
        let slots = args.number("slots", 1, u64::from(MAX_SLOTS))?;
        let domain = Domain {
            region: SmolStr::new(region.text),
            slots: u16::try_from(slots).unwrap_or(MAX_SLOTS),
        };
        if !self.rules.regions.contains(region.text) {
            return Err(undeclared(region, "region"));
        }
        if self
            .rules
            .domains
            .insert(name.value.clone(), domain)
            .is_some()
        {
            return Err(duplicate(&name, "failure domain"));
        }
        Ok(())
    }

    fn parse_service(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let name = args.next_name("a service's name")?;
        let kind = args.setting("kind")?;
        let kind = kind
            .text
            .parse::<ServiceKind>()
            .map_err(|_| error_at(kind.column, "expected kind=model or kind=plain"))?;
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
            return Err(duplicate(&name, "service"));
        }
        Ok(())
    }

    fn parse_customer(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let name = args.next_name("a customer's name")?;
        let list = args.setting("regions")?;
        let mut regions = BTreeSet::new();
        for region in list.text.split(',') {
            if !self.rules.regions.contains(region) {
                let message = format!("unknown region `{region}`: expected a declared region");
                return Err(error_at(list.column, message));
            }
            if !regions.insert(SmolStr::new(region)) {
                let message = format!("region `{region}` is given twice");
                return Err(error_at(list.column, message));
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
            return Err(duplicate(&name, "customer"));
        }
        Ok(())
    }

    fn parse_key(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let customer = args.next_name("a customer's name")?;
        let digest = args.setting("blake3")?;
        let parsed = digest
            .text
            .parse::<KeyDigest>()
            .map_err(|_| error_at(digest.column, "expected blake3= and 64 hexadecimal digits"))?;
        if !self.rules.customers.contains_key(&customer.value) {
            return Err(customer.undeclared("customer"));
        }
        if self.rules.keys.insert(parsed, customer.value).is_some() {
            return Err(error_at(
                digest.column,
                "another line already gives this key to a customer",
            ));
        }
        Ok(())
    }

    fn parse_allow(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let customer = args.next_name("a customer's name")?;
        let service = args.next_name("a service's name")?;
        if !self.rules.services.contains_key(&service.value) {
            return Err(service.undeclared("service"));
        }
        let Some(entitlement) = self.rules.customers.get_mut(&customer.value) else {
            return Err(customer.undeclared("customer"));
        };
        if !entitlement.services.insert(service.value.clone()) {
            return Err(error_at(
                service.column,
                "the customer may already call this service",
            ));
        }
        Ok(())
    }

    fn parse_route(&mut self, args: &mut Args<'_>) -> Result<(), LineError> {
        let service = args.next_name("a service's name")?;
        let method = args.next_word("an HTTP method in capitals")?;
        if !method.text.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(error_at(
                method.column,
                "expected an HTTP method in capitals",
            ));
        }
        let path = args.next_word("a path")?;
        if !path.text.starts_with('/') {
            return Err(error_at(
                path.column,
                "expected a path that begins with `/`",
            ));
        }
        let class = args.next_word("idempotent, non-idempotent or open")?;
        let parsed = class
            .text
            .parse::<RequestClass>()
            .map_err(|_| error_at(class.column, "expected idempotent, non-idempotent or open"))?;
        let Some(declared) = self.rules.services.get(&service.value) else {
            return Err(service.undeclared("service"));
        };
        if declared.kind == ServiceKind::Model && parsed != RequestClass::Idempotent {
            let message = format!("`{parsed}` contradicts kind=model: expected idempotent");
            return Err(error_at(class.column, message));
        }
        let route = Route {
            service: service.value,
            method: SmolStr::new(method.text),
            path: SmolStr::new(path.text),
            class: parsed,
        };
        let is_duplicate = self.rules.routes.iter().any(|r| {
            r.service == route.service && r.method == route.method && r.path == route.path
        });
        if is_duplicate {
            return Err(error_at(
                path.column,
                "a route with this method and path is already declared",
            ));
        }
        self.rules.routes.push(route);
        Ok(())
    }

    fn finish(mut self) -> Result<Rules, Vec<ParseError>> {
        if self.errors.is_empty() {
            self.rules
                .routes
                .sort_by_key(|r| std::cmp::Reverse((!r.path.ends_with('*'), r.path.len())));
            return Ok(self.rules);
        }
        self.errors.sort_by_key(|e| (e.line, e.column));
        Err(self.errors)
    }
}

fn check_requester(line: &Line<'_>) -> Result<(), LineError> {
    match line.requester {
        Some(name) if !name.is_empty() => Ok(()),
        _ => Err(error_at(
            line.end_column,
            "expected a comment `# …` that names who asked for the rule",
        )),
    }
}
