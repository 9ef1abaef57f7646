//! Minimal HTTP/1.1 server and client helpers on top of hyper.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Error of a response body that is aborted on purpose.
#[derive(Clone, Copy, Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body aborted on purpose")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a response.
pub type Body = BoxBody<Bytes, BodyAborted>;

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a response with `body` as its body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// Accepts HTTP/1.1 connections on `listener` until the future is dropped. Connections that
/// were accepted before are served to their end.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(move |req| {
                let response = handler(req);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            // Ignores errors of a connection, such as a client that disconnects.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// A response read to its end, or until its body was cut off.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, or the part of it that arrived.
    pub body: Bytes,
    /// Whether the body ended as HTTP framing requires.
    pub complete: bool,
}

impl ReceivedResponse {
    /// Reads a response to its end, or until its body is cut off.
    pub async fn read(response: Response<Incoming>) -> Self {
        let (head, mut incoming) = response.into_parts();
        let (mut body, mut complete) = (Vec::new(), true);
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    complete = false;
                    break;
                }
            }
        }
        Self {
            status: head.status,
            headers: head.headers,
            body: body.into(),
            complete,
        }
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the response to its end.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<ReceivedResponse> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let response = sender
        .send_request(req.body(Full::new(body.into()))?)
        .await?;
    Ok(ReceivedResponse::read(response).await)
}
