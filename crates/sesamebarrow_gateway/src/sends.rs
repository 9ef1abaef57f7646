//! The sends of a request, and what shows of each that it has not run.
//!
//! A caller is told that its request has not run only if each of its sends was withdrawn.

use smol_str::SmolStr;

/// What shows that a request that was sent has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// The connection closed before anything of the request was written to it.
    NotWritten,
    /// The upstream refused it by name, on a connection that had carried no refusal of that name.
    NamedRefusal,
    /// The instance that it was forwarded to refused it by name. No connection between instances is used after a refusal.
    RefusedThere,
}

/// The sends of a request.
#[derive(Debug, Default)]
pub struct Sends {
    count: u32,
    /// What showed that a send has not run; at most `count` entries.
    withdrawn: Vec<Evidence>,
}

impl Sends {
    /// Records that the request is about to be sent.
    pub fn record(&mut self) {
        self.count += 1;
    }

    /// Records that the latest send has not run and will not.
    pub fn withdraw(&mut self, evidence: Evidence) {
        debug_assert!(self.possible_runs() > 0, "a send is withdrawn once");
        self.withdrawn.push(evidence);
    }

    /// Returns how often the request was sent.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns how many of the sends may have run.
    pub fn possible_runs(&self) -> u32 {
        let withdrawn = u32::try_from(self.withdrawn.len()).unwrap_or(u32::MAX);
        self.count.saturating_sub(withdrawn)
    }

    /// Returns the evidence of all sends that were withdrawn, oldest first, for logs.
    pub fn evidence(&self) -> SmolStr {
        let names: Vec<&str> = self.withdrawn.iter().map(|e| e.into()).collect();
        SmolStr::new(names.join(","))
    }

    /// Returns the weakest evidence, for metrics; `unsent` if there was nothing to withdraw.
    pub fn weakest_evidence(&self) -> &'static str {
        let by_weakness = [
            Evidence::RefusedThere,
            Evidence::NamedRefusal,
            Evidence::NotWritten,
        ];
        let weakest = by_weakness.iter().find(|e| self.withdrawn.contains(e));
        weakest.map_or("unsent", |e| e.into())
    }
}
