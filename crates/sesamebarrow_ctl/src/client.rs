//! A minimal HTTP/1.1 client.

use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A response that was received in full.
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Sends a request with a bearer token on a new connection and reads the whole
/// response.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
) -> anyhow::Result<ReceivedResponse> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("cannot connect to {address}"))?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::new()))?;
    let response = sender
        .send_request(req)
        .await
        .with_context(|| format!("no response from {address}"))?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(ReceivedResponse { status, body })
}
