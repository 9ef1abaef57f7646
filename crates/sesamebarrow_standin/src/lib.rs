//! Stand-ins for the systems around the gateway: the platform, a model engine and a plain
//! service. For development and tests only.
//!
//! Each stand-in runs in a task of the calling process or, in the `tour` example, in a
//! separate process.

pub mod deploy;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod process;
pub mod relay;
pub mod upstream;

pub use deploy::DeploymentSpec;
pub use fleet::Fleet;
pub use platform::Platform;
pub use upstream::Upstream;
