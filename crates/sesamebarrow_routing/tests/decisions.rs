//! Tests of the routing decisions in virtual time, with simulated instances.

#[path = "decisions/admission.rs"]
mod admission;
#[path = "decisions/availability.rs"]
mod availability;
#[path = "decisions/buckets.rs"]
mod buckets;
#[path = "decisions/budgets.rs"]
mod budgets;
#[path = "decisions/catalogs.rs"]
mod catalogs;
#[path = "decisions/cold_upstreams.rs"]
mod cold_upstreams;
#[path = "decisions/cut_off_since_start.rs"]
mod cut_off_since_start;
#[path = "decisions/dispatch.rs"]
mod dispatch;
#[path = "decisions/dispatchers.rs"]
mod dispatchers;
#[path = "decisions/drain.rs"]
mod drain;
#[path = "decisions/fingerprint.rs"]
mod fingerprint;
#[path = "decisions/fleet.rs"]
mod fleet;
#[path = "decisions/forwarding.rs"]
mod forwarding;
#[path = "decisions/limit_owners.rs"]
mod limit_owners;
#[path = "decisions/limits.rs"]
mod limits;
#[path = "decisions/liveness.rs"]
mod liveness;
#[path = "decisions/loads.rs"]
mod loads;
#[path = "decisions/long_prompts.rs"]
mod long_prompts;
#[path = "decisions/lost_members.rs"]
mod lost_members;
#[path = "decisions/members.rs"]
mod members;
#[path = "decisions/memory.rs"]
mod memory;
#[path = "decisions/placement.rs"]
mod placement;
#[path = "decisions/quarantine.rs"]
mod quarantine;
#[path = "decisions/refills.rs"]
mod refills;
#[path = "decisions/refusals.rs"]
mod refusals;
#[path = "decisions/repeated_requests.rs"]
mod repeated_requests;
#[path = "decisions/trials.rs"]
mod trials;
