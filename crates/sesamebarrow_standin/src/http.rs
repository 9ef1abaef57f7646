//! A few lines around hyper, for servers and clients.

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

/// An answer that was broken off on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for Broken {}

/// A body.
pub type Body = BoxBody<Bytes, Broken>;

/// Returns a whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns an answer with a text.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// Serves HTTP/1.1 on `listener` until the task is dropped.
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
            // A client that goes away is its own affair.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// A whole answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Fields.
    pub fields: HeaderMap,
    /// The body, or what came of it.
    pub body: Bytes,
    /// Whether the body ended as its protocol says.
    pub whole: bool,
}

impl Answer {
    /// Reads an answer to its end, or to where it breaks off.
    pub async fn read(response: Response<Incoming>) -> Self {
        let (head, mut incoming) = response.into_parts();
        let (mut body, mut whole) = (Vec::new(), true);
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend(frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        Self {
            status: head.status,
            fields: head.headers,
            body: body.into(),
            whole,
        }
    }

    /// Returns the body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<Answer> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in fields {
        req = req.header(*name, *value);
    }
    let response = sender
        .send_request(req.body(Full::new(body.into()))?)
        .await?;
    Ok(Answer::read(response).await)
}
