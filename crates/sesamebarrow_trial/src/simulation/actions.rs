//! Performs the actions that boards return.

use std::time::Duration;

use sesamebarrow_policy::{Action, Event};
use sesamebarrow_rules::Document;

use super::Simulation;
use super::queue::{Item, PlatformRead};

/// Time after which a long poll for a newer document ends.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a read without an answer fails.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

impl Simulation {
    pub(super) fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::SendMessage { to, message } => self.send_message(node, &to, &message),
            Action::OpenLink { name, .. } => self.dial(node, &name),
            Action::CloseLink { name } => self.close_links_between(node, &name),
            Action::ReadDocument {
                kind,
                read_id,
                known_revision,
                wait_for_newer,
            } => self.begin_platform_read(node, kind, read_id, known_revision, wait_for_newer),
            Action::PollLoad { upstream, .. } => self.poll_load(node, &upstream),
            Action::Drained => self.nodes[node].drained = true,
            Action::ReturnPlacement { .. } => {}
            request => self.perform_request_action(node, request),
        }
    }

    fn begin_platform_read(
        &mut self,
        node: usize,
        kind: sesamebarrow_wire::control::DocumentKind,
        read_id: u64,
        known_revision: u64,
        wait_for_newer: bool,
    ) {
        self.platform.calls += 1;
        self.nodes[node].meter.platform_calls += 1;
        let read = PlatformRead {
            node,
            incarnation: self.nodes[node].incarnation,
            kind,
            read_id,
            known_revision,
        };
        let has_newer = self
            .platform
            .current
            .get(&kind)
            .is_some_and(|v| v.revision > known_revision);
        let delay = if wait_for_newer && !has_newer {
            LONG_POLL_TIMEOUT
        } else {
            Duration::from_millis(3)
        };
        self.queue.push(self.now + delay, Item::PlatformRead(read));
    }

    pub(super) fn finish_platform_read(&mut self, read: PlatformRead) {
        let connected = self
            .network
            .connects(&self.nodes[read.node].name, "platform");
        let event = match self.platform.current.get(&read.kind) {
            _ if !connected || self.platform.down => None,
            None => None,
            Some(publication) if publication.revision > read.known_revision => {
                // CAST: a document has one megabyte at most.
                self.nodes[read.node].meter.platform_bytes += publication.text.len() as u64;
                Some(Event::DocumentRead {
                    kind: read.kind,
                    read_id: read.read_id,
                    document: Box::new(Document::new(publication.revision, &publication.text)),
                })
            }
            Some(publication) => Some(Event::DocumentUnchanged {
                kind: read.kind,
                read_id: read.read_id,
                revision: publication.revision,
            }),
        };
        let (event, delay) = match event {
            Some(event) => (event, Duration::from_millis(3)),
            None => {
                let fault = "no answer".into();
                let failed = Event::DocumentReadFailed {
                    kind: read.kind,
                    read_id: read.read_id,
                    fault,
                };
                (failed, READ_TIMEOUT)
            }
        };
        let item = Item::BoardEvent {
            node: read.node,
            incarnation: read.incarnation,
            event: Box::new(event),
        };
        self.queue.push(self.now + delay, item);
    }

    fn poll_load(&mut self, node: usize, name: &str) {
        let Some(upstream) = self.upstreams.iter().find(|u| u.name == name) else {
            return;
        };
        let event = Event::LoadReported {
            upstream: name.into(),
            running: upstream.running,
            queued: 0,
        };
        let item = Item::BoardEvent {
            node,
            incarnation: self.nodes[node].incarnation,
            event: Box::new(event),
        };
        self.queue.push(self.now + Duration::from_millis(500), item);
    }
}
