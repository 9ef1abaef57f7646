//! Sends one request as a caller would: asks for a placement, follows it, takes hints.

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

/// Idle connections that a source keeps.
const IDLE: usize = 64;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Whole,
    /// Refused for the customer's rate.
    RateRefused,
    /// Refused for another reason.
    Refused,
    /// The answer broke off, or none came.
    Broken,
}

/// What one request showed.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// How it ended.
    pub end: End,
    /// Time from when it was due to the first byte of its answer's body.
    pub first: Duration,
    /// Time from when it was due to its end.
    pub whole: Duration,
}

struct Placement {
    instances: Vec<SocketAddr>,
    until: Instant,
}

/// Sends a source's requests.
pub struct Sender {
    source: Source,
    key: String,
    deadline: Duration,
    placement: Mutex<Option<Placement>>,
    idle: Mutex<Vec<(SocketAddr, SendRequest<Full<Bytes>>)>>,
}

impl Sender {
    /// Builds a sender.
    pub fn new(source: Source, key: String, deadline: Duration) -> Self {
        Self {
            source,
            key,
            deadline,
            placement: Mutex::default(),
            idle: Mutex::default(),
        }
    }

    /// Sends a request that was due at `due`.
    pub async fn send(&self, due: Instant) -> Sample {
        let mut first = None;
        let limit = self.deadline * 2;
        let end = tokio::time::timeout(limit, self.exchange(&mut first)).await;
        let end = match end {
            Ok(Ok(end)) => end,
            Ok(Err(_)) | Err(_) => End::Broken,
        };
        let whole = due.elapsed();
        let first = first.map_or(whole, |at: Instant| at.duration_since(due));
        Sample { end, first, whole }
    }

    async fn exchange(&self, first: &mut Option<Instant>) -> anyhow::Result<End> {
        let address = self.instance().await?;
        let mut connection = self.connect(address).await?;
        let response = match connection.send_request(self.request(address)?).await {
            Ok(response) => response,
            Err(error) => {
                self.forget_placement();
                return Err(error.into());
            }
        };
        let status = response.status();
        let whole = read(response, first).await;
        if !whole {
            return Ok(End::Broken);
        }
        if connection.is_ready() {
            self.keep(address, connection);
        }
        Ok(match status {
            s if s.is_success() => End::Whole,
            StatusCode::TOO_MANY_REQUESTS => End::RateRefused,
            _ => End::Refused,
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

    /// Returns the instance to use, by a placement that still holds.
    async fn instance(&self) -> anyhow::Result<SocketAddr> {
        if let Some(address) = self.placed() {
            return Ok(address);
        }
        let question = format!("/placement?service={}", self.source.service);
        let answer = client::call(self.source.entry, "GET", &question, &self.key).await?;
        let value: serde_json::Value = serde_json::from_slice(&answer.body)?;
        let listed = value["instances"].as_array().cloned().unwrap_or_default();
        let instances: Vec<SocketAddr> = listed
            .iter()
            .filter_map(|i| i["url"].as_str()?.strip_prefix("http://")?.parse().ok())
            .collect();
        let address = *instances
            .first()
            .ok_or_else(|| anyhow::anyhow!("no instance"))?;
        let ttl = Duration::from_millis(value["ttl_ms"].as_u64().unwrap_or_default());
        if let Ok(mut placement) = self.placement.lock() {
            *placement = Some(Placement {
                instances,
                until: Instant::now() + ttl,
            });
        }
        Ok(address)
    }

    fn placed(&self) -> Option<SocketAddr> {
        let placement = self.placement.lock().ok()?;
        let placement = placement.as_ref()?;
        (Instant::now() < placement.until).then(|| placement.instances[0])
    }

    fn forget_placement(&self) {
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
        while let Some((to, connection)) = idle.pop() {
            if to == address && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: SendRequest<Full<Bytes>>) {
        if let Ok(mut idle) = self.idle.lock()
            && idle.len() < IDLE
        {
            idle.push((address, connection));
        }
    }
}

/// Reads an answer; false if it broke off.
async fn read(response: Response<Incoming>, first: &mut Option<Instant>) -> bool {
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
        first.get_or_insert_with(Instant::now);
    }
    true
}
