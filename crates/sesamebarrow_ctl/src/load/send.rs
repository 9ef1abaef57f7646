//! Sends requests like a caller: asks for a placement and uses the first instance in it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::plan::Source;
use crate::client;

/// Maximum number of idle connections that a source keeps.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole response arrived.
    Whole,
    /// Refused because the customer's rate was exceeded.
    RateRefused,
    /// Refused for any other reason.
    Refused,
    /// The response was cut off, or none arrived.
    Broken,
}

/// The result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The outcome.
    pub outcome: Outcome,
    /// Time from when the request was due to the first byte of the response's body, or to the
    /// end if there was none.
    pub until_first_byte: Duration,
    /// Time from when the request was due to its end.
    pub until_end: Duration,
}

struct Placement {
    instances: Vec<SocketAddr>,
    expires_at: Instant,
}

/// Sends the requests of one source.
pub struct Sender {
    source: Source,
    key: String,
    deadline: Duration,
    placement: Mutex<Option<Placement>>,
    idle: Mutex<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>,
}

impl Sender {
    /// Builds a sender without connections.
    pub fn new(source: Source, key: String, deadline: Duration) -> Self {
        Self {
            source,
            key,
            deadline,
            placement: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Sends a request that is due at `due`. Gives up after twice its deadline.
    pub async fn send(&self, due: Instant) -> Sample {
        let mut first_byte_at = None;
        let timeout = self.deadline * 2;
        let outcome = tokio::time::timeout(timeout, self.exchange(&mut first_byte_at)).await;
        let outcome = match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Broken,
        };
        let until_end = due.elapsed();
        let until_first_byte =
            first_byte_at.map_or(until_end, |at: Instant| at.duration_since(due));
        Sample {
            outcome,
            until_first_byte,
            until_end,
        }
    }

    async fn exchange(&self, first_byte_at: &mut Option<Instant>) -> anyhow::Result<Outcome> {
        let address = self.target_instance().await?;
        let mut connection = self.connect(address).await?;
        let response = match connection.send_request(self.request(address)?).await {
            Ok(response) => response,
            Err(error) => {
                self.discard_placement();
                return Err(error.into());
            }
        };
        let status = response.status();
        let is_whole = read_body(response, first_byte_at).await;
        if !is_whole {
            return Ok(Outcome::Broken);
        }
        if connection.is_ready() {
            self.keep_idle(address, connection);
        }
        Ok(match status {
            s if s.is_success() => Outcome::Whole,
            StatusCode::TOO_MANY_REQUESTS => Outcome::RateRefused,
            _ => Outcome::Refused,
        })
    }

    fn request(&self, address: SocketAddr) -> anyhow::Result<Request<Full<Bytes>>> {
        let prompt = "x".repeat(self.source.prompt_bytes);
        let tokens = self.source.max_tokens;
        let body = format!("{{\"prompt\":\"{prompt}\",\"max_tokens\":{tokens}}}");
        let req = Request::builder()
            .method("POST")
            .uri(format!("/s/{}{}", self.source.service, self.source.path))
            .header("host", address.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .header("x-max-tokens", tokens)
            .header("x-deadline-ms", self.deadline.as_millis().to_string());
        Ok(req.body(Full::new(body.into()))?)
    }

    /// Returns the instance to send to. Asks for a new placement if the last one expired.
    async fn target_instance(&self) -> anyhow::Result<SocketAddr> {
        if let Some(address) = self.cached_instance() {
            return Ok(address);
        }
        let path = format!("/placement?service={}", self.source.service);
        let response = client::call(self.source.entry, "GET", &path, &self.key).await?;
        let value: serde_json::Value = serde_json::from_slice(&response.body)?;
        let entries = value["instances"].as_array().cloned().unwrap_or_default();
        let instances: Vec<SocketAddr> = entries
            .iter()
            .filter_map(|i| i["url"].as_str()?.strip_prefix("http://")?.parse().ok())
            .collect();
        let address = *instances
            .first()
            .ok_or_else(|| anyhow::anyhow!("the placement has no instance with an address"))?;
        let ttl = Duration::from_millis(value["ttl_ms"].as_u64().unwrap_or_default());
        if let Ok(mut placement) = self.placement.lock() {
            *placement = Some(Placement {
                instances,
                expires_at: Instant::now() + ttl,
            });
        }
        Ok(address)
    }

    fn cached_instance(&self) -> Option<SocketAddr> {
        let placement = self.placement.lock().ok()?;
        let placement = placement.as_ref()?;
        (Instant::now() < placement.expires_at).then(|| placement.instances[0])
    }

    fn discard_placement(&self) {
        if let Ok(mut placement) = self.placement.lock() {
            *placement = None;
        }
    }

    async fn connect(&self, address: SocketAddr) -> anyhow::Result<SendRequest<Full<Bytes>>> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().ok()?;
        while let Some((peer, connection)) = idle.pop() {
            if peer == address && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, address: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < MAX_IDLE_CONNECTIONS
        {
            idle.push((address, connection));
        }
    }
}

/// Reads the body of a response. Returns `false` if it was cut off.
async fn read_body(response: Response<Incoming>, first_byte_at: &mut Option<Instant>) -> bool {
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
        first_byte_at.get_or_insert_with(Instant::now);
    }
    true
}
