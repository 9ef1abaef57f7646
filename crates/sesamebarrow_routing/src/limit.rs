//! Limits that upstreams name in their answers: the requests per second that they take from all instances
//! together.

/// What an answer says about a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The upstream takes so many requests per second.
    Limit(f64),
    /// The upstream names no limit.
    NoLimit,
    /// The answer proves neither.
    Nothing,
}
