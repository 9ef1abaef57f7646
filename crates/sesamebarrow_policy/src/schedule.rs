//! Passes events to the controllers and runs the periodic ones in a fixed order.

use std::time::Duration;

use crate::board::Board;
use crate::event::{Action, Event};
use crate::{
    at_most_once, clock, config, limit, member, pipeline, placement, quarantine, upstream,
};

/// Passes `event`, which happened at `now`, to its controller and returns the actions that
/// the driver has to carry out.
pub fn handle(board: &mut Board, now: Duration, event: Event) -> Vec<Action> {
    clock::advance(board, now);
    pass_to_controller(board, event);
    std::mem::take(&mut board.actions)
}

fn pass_to_controller(board: &mut Board, event: Event) {
    match event {
        Event::Tick => tick(board),
        Event::DocumentRead {
            kind,
            read_id,
            document,
        } => config::handle_document_read(board, kind, read_id, *document),
        Event::DocumentUnchanged {
            kind,
            read_id,
            revision,
        } => config::handle_unchanged(board, kind, read_id, revision),
        Event::DocumentReadFailed {
            kind,
            read_id,
            fault,
        } => {
            config::handle_read_failure(board, kind, read_id, fault);
        }
        Event::LinkUp {
            name,
            domain,
            incarnation,
        } => member::handle_link_up(board, name, domain, incarnation),
        Event::LinkDown { name, incarnation } => {
            member::handle_link_down(board, &name, incarnation);
        }
        Event::MessageReceived {
            name,
            incarnation,
            message,
        } => member::handle_message(board, &name, incarnation, message),
        Event::LoadReported {
            upstream,
            running,
            queued,
        } => upstream::record_load(board, &upstream, running, queued, Duration::ZERO),
        Event::RequestArrived { id, head } => pipeline::handle_arrival(board, id, head),
        Event::ReadyToSend { id, fingerprint } => {
            pipeline::handle_ready_to_send(board, id, fingerprint);
        }
        Event::ResponseStarted { id } => pipeline::handle_response_started(board, id),
        Event::AttemptFinished { id, outcome } => pipeline::handle_attempt_end(board, id, outcome),
        Event::CallerDisconnected { id } => pipeline::handle_caller_disconnected(board, id),
        Event::PlacementRequested { id, key, service } => {
            placement::handle_query(board, id, key, &service);
        }
        Event::Drain => member::begin_drain(board),
        Event::RefuseRemaining => pipeline::refuse_remaining(board),
    }
}

/// Runs every periodic controller, in this order.
fn tick(board: &mut Board) {
    config::start_reads(board);
    clock::end_recovery(board);
    member::close_silent_links(board);
    member::dial_wanted_links(board);
    member::send_due_heartbeats(board);
    upstream::poll_loads(board);
    limit::tick(board);
    at_most_once::expire(board);
    pipeline::expire(board);
    quarantine::remove_expired(board);
    member::finish_drain(board);
}
