//! Asks the judges of quarantined suspects for trials, and answers other instances that do.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamebarrow_routing::board::quarantine::Judge;
use sesamebarrow_routing::quarantine::message::{TrialGrant, TrialRequest, TrialReturn};
use sesamebarrow_routing::quarantine::{Order, Suspect, Trial};
use sesamebarrow_routing::token::Body;
use tokio::sync::oneshot;

use super::{apply, send};
use crate::shared::Shared;

/// Time within which the first judge of a suspect must answer; more than two round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// A request for a trial that has not been answered.
struct PendingTrial {
    suspect: Suspect,
    tx: oneshot::Sender<bool>,
}

/// The requests for trials that have not been answered, by id. At most one for each suspect.
#[derive(Default)]
pub struct Trials {
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, PendingTrial>>,
}

impl Trials {
    fn pending(&self) -> MutexGuard<'_, HashMap<u64, PendingTrial>> {
        // A panic while the lock is held ends only one task. The table remains usable.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A trial that was granted to one request. It is given back unless an upstream may have run the request.
pub struct Permit {
    shared: Arc<Shared>,
    tried: Vec<Suspect>,
    /// Those of the suspects whose judges have granted it.
    granted: Vec<Suspect>,
    may_have_run: bool,
}

impl Permit {
    /// Returns the suspects that are tried.
    pub fn tried(&self) -> &[Suspect] {
        &self.tried
    }

    /// Sets whether an upstream may have run the request.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.may_have_run {
            for suspect in &self.granted {
                give_back(&self.shared, *suspect);
            }
        }
    }
}

/// Asks for a trial. Returns `None` unless all judges that have to grant it.
pub async fn request(shared: &Arc<Shared>, trial: &Trial) -> Option<Permit> {
    let asked = trial.asked();
    if asked.len() > 1 {
        // What one judge grants would have to be given back if another refuses.
        for suspect in asked {
            let question = TrialRequest {
                is_question: true,
                ..TrialRequest::new(0, *suspect, trial.ambiguity)
            };
            if !ask_judge(shared, *suspect, question).await {
                return None;
            }
        }
    }
    let mut permit = Permit {
        shared: shared.clone(),
        tried: trial.suspects.clone(),
        granted: Vec::new(),
        may_have_run: false,
    };
    for suspect in asked {
        let request = TrialRequest::new(0, *suspect, trial.ambiguity);
        if !ask_judge(shared, *suspect, request).await {
            return None;
        }
        permit.granted.push(*suspect);
    }
    Some(permit)
}

/// Sends `request` to the first judge of `suspect`. Returns whether it is granted.
async fn ask_judge(shared: &Arc<Shared>, suspect: Suspect, request: TrialRequest) -> bool {
    let ip = match first_judge(shared, suspect) {
        Some(Judge::Other(ip)) => ip,
        Some(Judge::Own) => return decide(shared, suspect, request),
        None => return false,
    };
    let trials = &shared.trials;
    let id = trials.next_id.fetch_add(1, Ordering::Relaxed);
    let (tx, rx) = oneshot::channel();
    {
        let mut pending = trials.pending();
        if pending.values().any(|p| p.suspect == suspect) {
            return false;
        }
        pending.insert(id, PendingTrial { suspect, tx });
    }
    let _guard = PendingGuard { trials, id };
    send(
        shared,
        ip,
        Body::TrialRequest(TrialRequest { id, ..request }),
    );
    let granted = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
    matches!(granted, Ok(Ok(true)))
}

/// Forgets a request for a trial when it is answered, times out, or its client leaves.
struct PendingGuard<'a> {
    trials: &'a Trials,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.trials.pending().remove(&self.id);
    }
}

fn first_judge(shared: &Shared, suspect: Suspect) -> Option<Judge> {
    let judges = shared.board().judges(shared.now(), suspect);
    judges.first().copied()
}

/// Decides as the judge of `suspect`.
fn decide(shared: &Shared, suspect: Suspect, request: TrialRequest) -> bool {
    let now = shared.now();
    if request.is_question {
        let quarantine = &mut shared.board().quarantine;
        return quarantine.is_preferred(now, suspect, request.ambiguity);
    }
    let (granted, effects) = shared.board().grant_trial(now, suspect, request.ambiguity);
    apply(shared, effects);
    granted
}

fn give_back(shared: &Shared, suspect: Suspect) {
    match first_judge(shared, suspect) {
        Some(Judge::Own) => take_back(shared, suspect),
        Some(Judge::Other(ip)) => {
            send(shared, ip, Body::TrialReturn(TrialReturn::new(suspect)));
        }
        None => {}
    }
}

fn take_back(shared: &Shared, suspect: Suspect) {
    let effects = shared.board().take_back_trial(shared.now(), suspect);
    apply(shared, effects);
}

/// Handles a request for a trial, and returns the answer.
pub fn handle_request(shared: &Shared, request: TrialRequest) -> TrialGrant {
    let suspect = request.decode();
    let granted = suspect.is_some_and(|s| decide(shared, s, request));
    TrialGrant::new(request, granted)
}

/// Handles the answer to a request for a trial. A trial that nobody waits for any more is given back.
pub fn handle_grant(shared: &Shared, grant: TrialGrant) {
    let pending = shared.trials.pending().remove(&grant.id);
    let is_taken = pending.is_some_and(|p| p.tx.send(grant.granted).is_ok());
    if !is_taken
        && grant.granted
        && let Some(suspect) = grant.decode_suspect()
    {
        give_back(shared, suspect);
    }
}

/// Handles a trial that is given back.
pub fn handle_return(shared: &Shared, returned: TrialReturn) {
    if let Some(suspect) = returned.decode() {
        take_back(shared, suspect);
    }
}

/// Formats suspects for logs.
pub fn format(suspects: &[Suspect]) -> String {
    let texts = suspects.iter().map(|s| format!("{}:{:x}", s.kind, s.id));
    texts.collect::<Vec<_>>().join(",")
}

/// Formats the crashes that led to an order for logs.
pub fn format_crashes(order: &Order) -> String {
    let texts = order.crashes.ids().map(|id| format!("{id:x}"));
    texts.collect::<Vec<_>>().join(",")
}
