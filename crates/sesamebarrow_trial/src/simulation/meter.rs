//! Counters of the control traffic and processor time of one instance.

use std::time::Duration;

use sesamebarrow_policy::Message;
use sesamebarrow_wire::frame;

/// Number and size of the messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// Number of messages sent.
    pub messages: u64,
    /// Encoded size, framing included.
    pub bytes: u64,
}

/// Counters of the control traffic and processor time of one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Heartbeats.
    pub heartbeats: MessageTotals,
    /// Documents and requests for documents.
    pub documents: MessageTotals,
    /// Loan requests, loans and loan reports.
    pub loans: MessageTotals,
    /// Number of calls to the platform.
    pub platform_calls: u64,
    /// Bytes of documents read from the platform.
    pub platform_bytes: u64,
    /// Processor time spent in the policy.
    pub policy_time: Duration,
}

impl Meter {
    pub(super) fn count(&mut self, message: &Message) {
        let payload = message.clone().into();
        let totals = match message {
            Message::Heartbeat(_) => &mut self.heartbeats,
            Message::DocumentRequest(_) | Message::DocumentUpdate(_) => &mut self.documents,
            Message::LoanRequest(_) | Message::Loan(_) | Message::LoanReport(_) => &mut self.loans,
        };
        totals.messages += 1;
        // CAST: a frame has a few megabytes at most.
        totals.bytes += frame::encoded_len(&payload) as u64;
    }

    /// Returns the number of bytes sent to other instances.
    pub fn sent_bytes(&self) -> u64 {
        self.heartbeats.bytes + self.documents.bytes + self.loans.bytes
    }
}
