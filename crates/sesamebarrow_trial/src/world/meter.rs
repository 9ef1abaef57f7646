//! What the control of one process costs.

use std::time::Duration;

use sesamebarrow_policy::Message;
use sesamebarrow_wire::frame;

/// Messages and bytes of one kind, as the encoder counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Messages sent.
    pub messages: u64,
    /// Their bytes, framing included.
    pub bytes: u64,
}

/// What the control of one process costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Heartbeats.
    pub heartbeats: Flow,
    /// Documents and the questions for them.
    pub documents: Flow,
    /// Asks, loans and reports.
    pub loans: Flow,
    /// Calls of the platform.
    pub platform_calls: u64,
    /// Bytes of documents read from the platform.
    pub platform_bytes: u64,
    /// Time spent in the policy.
    pub busy: Duration,
}

impl Meter {
    pub(super) fn count(&mut self, message: &Message) {
        let payload = message.clone().into();
        let flow = match message {
            Message::Heartbeat(_) => &mut self.heartbeats,
            Message::DocumentRequest(_) | Message::Document(_) => &mut self.documents,
            Message::LoanRequest(_) | Message::Loan(_) | Message::LoanReport(_) => &mut self.loans,
        };
        flow.messages += 1;
        // CAST: a frame is a few megabytes at most.
        flow.bytes += frame::encoded_len(&payload) as u64;
    }

    /// Returns all bytes sent to instances.
    pub fn sent_bytes(&self) -> u64 {
        self.heartbeats.bytes + self.documents.bytes + self.loans.bytes
    }
}
