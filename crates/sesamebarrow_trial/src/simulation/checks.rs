//! Checks the invariants that apply when an instance sends a request on.

use sesamebarrow_policy::event::Target;
use sesamebarrow_rules::{KeyDigest, ServiceKind};

use super::Simulation;
use super::request::ActiveRequest;
use crate::traffic::Call;

impl Simulation {
    /// Checks the key and the region of a request that `node` is about to send, and records the
    /// tokens for which it was admitted.
    pub(super) fn check_before_send(&mut self, node: usize, request: &ActiveRequest) {
        if !self.checks_enabled {
            return;
        }
        let now = self.now;
        let must_be_current = self.must_be_current(node);
        if let Some(key) = &request.call.key {
            let digest = KeyDigest::of(key.as_bytes());
            self.invariants
                .check_key(&self.platform, &digest, must_be_current, now);
        }
        let Some(customer) = self.customer_of(node, &request.call) else {
            return;
        };
        let region = match &request.target {
            Some(Target::Instance { name, .. }) => self.region_of_node(name),
            _ => self.region_of_node(&self.nodes[node].name.clone()),
        };
        if let Some(region) = region
            && must_be_current
        {
            self.invariants
                .check_region(&self.platform, &customer, &region, now);
        }
        let runs_here = matches!(request.target, Some(Target::Upstream { .. }));
        if let Some(at) = request.admitted_at.filter(|_| runs_here) {
            let tokens = self.actual_cost(node, &request.call);
            let execution_id = request.call.execution_id();
            self.invariants
                .record_admission(execution_id, &customer, tokens, at);
        }
    }

    fn customer_of(&self, node: usize, call: &Call) -> Option<String> {
        let key = KeyDigest::of(call.key.as_ref()?.as_bytes());
        let board = self.nodes[node].board.as_ref()?;
        board.customer_of(&key).map(ToString::to_string)
    }

    fn region_of_node(&self, name: &str) -> Option<String> {
        let domain = &self.nodes[self.node_index(name)?].domain;
        let rules = self
            .nodes
            .iter()
            .find_map(|n| n.board.as_ref()?.rules.clone());
        rules?.region_of(domain).map(ToString::to_string)
    }

    pub(super) fn actual_cost(&self, node: usize, call: &Call) -> u64 {
        let rules = self.nodes[node]
            .board
            .as_ref()
            .and_then(|b| b.rules.clone());
        let service = rules.and_then(|r| r.services.get(&call.service).cloned());
        match service {
            Some(s) if s.kind == ServiceKind::Plain => u64::from(s.cost),
            _ => call.actual_tokens,
        }
    }
}
