//! Links between instances. A link is one connection for control messages and for the
//! streams of forwarded requests.

mod handshake;
mod link;
mod serve;
mod stream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use sesamebarrow_policy::event::Target;
use sesamebarrow_policy::{Event, Identity, Message};
use sesamebarrow_wire::auth::{FleetKeys, Role};
use sesamebarrow_wire::stream::{Field, Open};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept;
use crate::attempt::{OutboundRequest, RequestContext};
use crate::node::Node;

pub use link::Link;
pub use stream::{Inbound, Stream};

/// Maximum time to connect and complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time to close all links at the end of the process.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Table of the open links of this process.
#[derive(Clone)]
pub struct Links(Arc<Inner>);

struct Inner {
    identity: Identity,
    keys: FleetKeys,
    links: Mutex<HashMap<SmolStr, Arc<Link>>>,
    node: OnceLock<Weak<Node>>,
    /// Cancelled when the links are to close after their queued frames.
    finishing: CancellationToken,
    /// Reader and writer tasks of all links, also of those that were replaced.
    tasks: TaskTracker,
}

impl Links {
    /// Creates an empty table.
    pub fn new(identity: Identity, keys: FleetKeys) -> Self {
        Self(Arc::new(Inner {
            identity,
            keys,
            links: Mutex::default(),
            node: OnceLock::new(),
            finishing: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }))
    }

    /// Sets the node whose driver is notified of links and messages. Must be called before
    /// links are opened.
    pub fn attach(&self, node: &Arc<Node>) {
        // There is only one node in a process.
        let _ = self.0.node.set(Arc::downgrade(node));
    }

    fn node(&self) -> Option<Arc<Node>> {
        self.0.node.get()?.upgrade()
    }

    fn with_links<T>(&self, f: impl FnOnce(&mut HashMap<SmolStr, Arc<Link>>) -> T) -> T {
        let mut links = match self.0.links.lock() {
            Ok(links) => links,
            Err(poisoned) => poisoned.into_inner(),
        };
        f(&mut links)
    }

    fn get(&self, name: &str) -> Option<Arc<Link>> {
        self.with_links(|links| links.get(name).cloned())
    }

    /// Returns whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.with_links(|links| links.is_empty())
    }

    /// Sends a control message, or drops it if no link to the receiver is open. The policy sends
    /// a lost message again if it still needs it.
    pub fn send(&self, to: &str, message: Message) {
        if let Some(link) = self.get(to) {
            link.send(message.into());
        }
    }

    /// Closes the link to `name`.
    pub fn close_link(&self, name: &str) {
        let link = self.with_links(|links| links.remove(name));
        if let Some(link) = link {
            link.close();
        }
    }

    /// Sends all queued frames, and then closes the links. The other ends must have read the
    /// frames before the process ends, since its end resets connections with unread bytes.
    pub async fn finish(&self) {
        self.0.finishing.cancel();
        self.0.tasks.close();
        if tokio::time::timeout(FINISH_TIMEOUT, self.0.tasks.wait())
            .await
            .is_err()
        {
            log::warn!("links not closed in time");
        }
    }

    /// Opens a link to `address`. If `name` is given, checks that the instance there has this
    /// name.
    pub async fn dial(&self, name: Option<SmolStr>, address: SocketAddr) {
        let opened = tokio::time::timeout(HANDSHAKE_TIMEOUT, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            handshake::run(stream, Role::Dialler, &self.0.identity, &self.0.keys).await
        });
        let established = match opened.await {
            Ok(Ok(established)) => established,
            Ok(Err(error)) => {
                log::debug!(address:% = address, error:% = error; "link not opened");
                return;
            }
            Err(_) => {
                log::debug!(address:% = address; "opening the link timed out");
                return;
            }
        };
        if name.is_some_and(|n| n != established.hello.name) {
            log::warn!(address:% = address; "link not opened: another instance uses this address");
            return;
        }
        self.add(established, Role::Dialler);
    }

    /// Opens a stream on the link to `name`, after opening the link if necessary.
    pub async fn open_stream(&self, name: &str, timeout: Duration) -> Option<Stream> {
        if let Some(link) = self.get(name) {
            return link.open_stream();
        }
        let node = self.node()?;
        let address = node.peer_address(name).await?;
        let dial = self.dial(Some(SmolStr::new(name)), address);
        tokio::time::timeout(timeout, dial).await.ok()?;
        self.get(name)?.open_stream()
    }

    /// Starts a link after its handshake, and adds it.
    fn add(&self, established: handshake::Established, role: Role) {
        let Some(node) = self.node() else {
            return;
        };
        let name = SmolStr::new(&established.hello.name);
        // The other end is this process itself, for example through `peers` in its settings,
        // or another process of the same name.
        if name == self.0.identity.name {
            return;
        }
        let domain = SmolStr::new(&established.hello.domain);
        let incarnation = established.hello.incarnation;
        let link = Link::start(
            node.clone(),
            established,
            role,
            &self.0.finishing,
            &self.0.tasks,
        );
        // A link that is replaced here is not closed, so its streams continue.
        self.with_links(|links| links.insert(name.clone(), link));
        node.driver.send_event(Event::LinkUp {
            name,
            domain,
            incarnation,
        });
    }

    /// Removes a link that was closed.
    fn remove_closed(&self, link: &Arc<Link>) {
        let was_current = self.with_links(|links| {
            let same = links.get(&link.name).is_some_and(|l| Arc::ptr_eq(l, link));
            if same {
                links.remove(&link.name);
            }
            same
        });
        // If a newer link has replaced it, the instance is still connected.
        if let Some(node) = self.node().filter(|_| was_current) {
            node.driver.send_event(Event::LinkDown {
                name: link.name.clone(),
                incarnation: link.incarnation,
            });
        }
    }
}

/// Accepts links until the process ends.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                accept::pause_after_failure(&error).await;
                continue;
            }
        };
        let node = node.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let links = &node.links;
            let inner = &links.0;
            let authentication =
                handshake::run(stream, Role::Listener, &inner.identity, &inner.keys);
            match tokio::time::timeout(HANDSHAKE_TIMEOUT, authentication).await {
                Ok(Ok(established)) => links.add(established, Role::Listener),
                Ok(Err(error)) => {
                    log::warn!(address:% = address, error:% = error; "link refused");
                }
                Err(_) => log::warn!(address:% = address; "link refused: handshake timed out"),
            }
        });
    }
}

/// Returns the frame that opens a stream and contains the head of a forwarded request.
pub fn open_frame(
    stream: u64,
    target: &Target,
    outbound: &OutboundRequest,
    context: &RequestContext,
) -> Open {
    let (customer, reserved_tokens) = match target {
        Target::Instance {
            customer,
            reserved_tokens,
            ..
        } => (customer.as_deref(), *reserved_tokens),
        Target::Upstream { .. } => (None, 0),
    };
    let time_left = context.time_left.as_millis();
    Open {
        stream,
        request_id: outbound.id.to_string(),
        customer: customer.unwrap_or_default().to_owned(),
        service: context.service.to_string(),
        method: outbound.method.to_string(),
        path: outbound.path.clone(),
        fields: encode_fields(&outbound.fields),
        ticket: context.ticket.as_deref().unwrap_or_default().to_owned(),
        deadline_ms: u32::try_from(time_left).unwrap_or(u32::MAX),
        reserved_tokens,
        hops: 1,
    }
}

/// Encodes header fields for a link.
pub fn encode_fields(fields: &HeaderMap) -> Vec<Field> {
    fields
        .iter()
        .map(|(name, value)| Field {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes header fields from a link. Omits invalid ones.
pub fn decode_fields(fields: &[Field]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for field in fields {
        append_field(&mut map, &field.name, &field.value);
    }
    map
}

/// Appends a header field if its name and value are valid.
pub fn append_field(map: &mut HeaderMap, name: &str, value: &[u8]) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let value = HeaderValue::from_bytes(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        map.append(name, value);
    }
}
