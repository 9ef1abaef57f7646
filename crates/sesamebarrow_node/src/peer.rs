//! Links between instances: one connection carries control messages and the streams of
//! forwarded requests.

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

use crate::attempt::{OutboundRequest, RequestContext};
use crate::node::Node;

pub use link::Link;
pub use stream::{Inbound, Stream};

/// Longest time to open a link and prove the secret.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// All links of the process.
#[derive(Clone)]
pub struct Links(Arc<Inner>);

struct Inner {
    identity: Identity,
    keys: FleetKeys,
    links: Mutex<HashMap<SmolStr, Arc<Link>>>,
    node: OnceLock<Weak<Node>>,
}

impl Links {
    /// Builds the table for a new process.
    pub fn new(identity: Identity, keys: FleetKeys) -> Self {
        Self(Arc::new(Inner {
            identity,
            keys,
            links: Mutex::default(),
            node: OnceLock::new(),
        }))
    }

    /// Tells the table of the process that it belongs to.
    pub fn attach(&self, node: &Arc<Node>) {
        // A second call would name the same process.
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

    /// Tells whether no link stands.
    pub fn is_empty(&self) -> bool {
        self.with_links(|links| links.is_empty())
    }

    /// Sends a control message, if a link stands. One that is lost is sent anew by
    /// whoever still needs it.
    pub fn send(&self, to: &str, message: Message) {
        if let Some(link) = self.get(to) {
            link.send(message.into());
        }
    }

    /// Closes a link.
    pub fn close_link(&self, name: &str) {
        let link = self.with_links(|links| links.remove(name));
        if let Some(link) = link {
            link.close();
        }
    }

    /// Opens a link to `address`, where `name` is expected if it is given.
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
                log::debug!(address:% = address; "link not opened in time");
                return;
            }
        };
        if name.is_some_and(|n| n != established.hello.name) {
            log::warn!(address:% = address; "another instance answers there");
            return;
        }
        self.add(established, Role::Dialler);
    }

    /// Opens a stream on the link to `name`.
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

    /// Takes a link whose ends have proved the secret.
    fn add(&self, established: handshake::Established, role: Role) {
        let Some(node) = self.node() else {
            return;
        };
        let name = SmolStr::new(&established.hello.name);
        if name == self.0.identity.name {
            return;
        }
        let domain = SmolStr::new(&established.hello.domain);
        let incarnation = established.hello.incarnation;
        let link = Link::start(node.clone(), established, role);
        self.with_links(|links| links.insert(name.clone(), link));
        node.driver.send_event(Event::LinkUp {
            name,
            domain,
            incarnation,
        });
    }

    /// Takes the end of a link.
    fn remove_closed(&self, link: &Arc<Link>) {
        let was_current = self.with_links(|links| {
            let same = links.get(&link.name).is_some_and(|l| Arc::ptr_eq(l, link));
            if same {
                links.remove(&link.name);
            }
            same
        });
        // Where a newer link has taken its place, nothing is lost.
        if let Some(node) = self.node().filter(|_| was_current) {
            node.driver.send_event(Event::LinkDown {
                name: link.name.clone(),
                incarnation: link.incarnation,
            });
        }
    }
}

/// Takes links for as long as the process lives.
pub async fn listen(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
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
                Err(_) => log::warn!(address:% = address; "link refused: silent"),
            }
        });
    }
}

/// Returns the head of a request that is handed to another instance.
pub fn open_frame(
    stream: u64,
    target: &Target,
    outbound: &OutboundRequest,
    context: &RequestContext,
) -> Open {
    let (customer, reserved) = match target {
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
        reserved_tokens: reserved,
        hops: 1,
    }
}

/// Writes fields for a link.
pub fn encode_fields(fields: &HeaderMap) -> Vec<Field> {
    fields
        .iter()
        .map(|(name, value)| Field {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Reads fields that came over a link; what is no field is left out.
pub fn decode_fields(fields: &[Field]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for field in fields {
        append_field(&mut map, &field.name, &field.value);
    }
    map
}

/// Adds a field, if it is one.
pub fn append_field(map: &mut HeaderMap, name: &str, value: &[u8]) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let value = HeaderValue::from_bytes(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        map.append(name, value);
    }
}
