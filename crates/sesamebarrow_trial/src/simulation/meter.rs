//! What the control of one process costs.

use std::time::Duration;

use sesamebarrow_policy::Message;
use sesamebarrow_wire::frame;

/// Messages and bytes of one kind, as the encoder counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes, framing included.
    pub bytes: u64,
}

/// What the control of one process costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Heartbeats.
    pub heartbeats: MessageTotals,
    /// Documents and the questions for them.
    pub documents: MessageTotals,
    /// Asks, loans and reports.
    pub loans: MessageTotals,
    /// Calls of the platform.
    pub platform_calls: u64,
    /// Bytes of documents read from the platform.
    pub platform_bytes: u64,
    /// Time spent in the policy.
    pub policy_time: Duration,
}

impl Meter {
    pub(super) fn count(&mut self, message: &Message) {
        let payload = message.clone().into();
        let totals = match message {
            Message::Heartbeat(_) => &mut self.heartbeats,
            Message::DocumentRequest(_) | Message::Document(_) => &mut self.documents,
            Message::LoanRequest(_) | Message::Loan(_) | Message::LoanReport(_) => &mut self.loans,
        };
        totals.messages += 1;
        // CAST: a frame is a few megabytes at most.
        totals.bytes += frame::encoded_len(&payload) as u64;
    }

    /// Returns all bytes sent to instances.
    pub fn sent_bytes(&self) -> u64 {
        self.heartbeats.bytes + self.documents.bytes + self.loans.bytes
    }
}
