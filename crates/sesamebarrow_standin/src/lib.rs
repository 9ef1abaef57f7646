//! Small stand-ins for what the gateway meets: the platform, a model engine and a plain
//! service. For development and tests only.
//!
//! Each runs in a task of the calling process or, by the `tour` example, in a
//! process of its own.

pub mod deploy;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod process;
pub mod relay;
pub mod upstream;

pub use deploy::Deployment;
pub use fleet::Fleet;
pub use platform::Platform;
pub use upstream::Upstream;
