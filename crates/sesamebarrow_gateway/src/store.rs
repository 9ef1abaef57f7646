//! Reads the platform's store and applies its changes to the catalog and the board.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use sesamebarrow_platform::item::{self, Key};
use sesamebarrow_platform::store as platform_store;
use sesamebarrow_routing::catalog::read::Pages;
use sesamebarrow_routing::catalog::{Catalog, Change, Delta, Item, Position};
use smol_str::SmolStr;

use crate::meter::{Meter, Metered, MeteredBody};
use crate::shared::Shared;
use crate::socket;

/// Maximum time for which the store holds a watch open. A lost response is noticed [`CALL_TIMEOUT`] after it, and by
/// nothing else: the connection stays open. Until then this instance, and those that learn from it, act on what they
/// know. Noticing it and reading the store again must take less than the 6 s in which all instances are up to date
/// again after the store had troubles.
const WATCH_WAIT: Duration = Duration::from_secs(3);

/// Maximum time for a response, in addition to the wait of a watch. A slow store takes a
/// quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time for which the store holds a watch for changes that it has made already.
const CATCH_UP_WAIT: Duration = Duration::from_millis(250);

/// Maximum size of a response of the store. A page has about a megabyte, and a third more in its encoding.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Backoff after the first failure; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why reading the store stopped.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    #[error("call failed: {0}")]
    Call(#[from] hyper::Error),
    #[error("response body failed: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("no response within {0:?}")]
    TimedOut(Duration),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("the changes since the last revision are no longer available")]
    HistoryCompacted,
    #[error("the store was restored from an older copy: era {0}")]
    EraChanged(u16),
    #[error("the store answers in era {0}, which has ended")]
    EarlierEra(u16),
    #[error("the store does not return the changes that were made while it was read")]
    ChangesMissing,
    #[error("the settings name another address")]
    AddressChanged,
    #[error("invalid response: {0}")]
    Response(#[from] platform_store::Error),
}

/// Time after the start in which other instances may answer, more than a round trip between
/// regions. If they do, this instance may not have to read the store.
const INITIAL_GOSSIP_WAIT: Duration = Duration::from_millis(250);

/// Interval at which the instance checks whether it must read the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an instance that the store did not answer tries to read it again.
const RETRY_READING_AFTER: Duration = Duration::from_secs(5);

/// Reads the store whenever this instance is a store reader, until the process ends.
pub async fn follow(shared: Arc<Shared>) {
    tokio::time::sleep(INITIAL_GOSSIP_WAIT).await;
    let mut backoff = MIN_BACKOFF;
    let mut failed = false;
    loop {
        wait_until_reader(&shared).await;
        let started_at = shared.now();
        let ended = tokio::select! {
            ended = read_and_watch(&shared, &mut failed) => ended,
            () = wait_until_not_reader(&shared) => {
                log::info!("store is read by others");
                continue;
            }
        };
        let error = match ended {
            Ok(never) => match never {},
            Err(error) => error,
        };
        if shared.now().saturating_sub(started_at) > MAX_BACKOFF * 2 {
            backoff = MIN_BACKOFF;
        }
        if let Error::EraChanged(era) = error {
            log::warn!(era, error:% = error; "reading the whole store again");
            metrics::counter!("sesamebarrow_store_eras_total").increment(1);
        } else if matches!(error, Error::HistoryCompacted | Error::ChangesMissing) {
            log::warn!(error:% = error; "reading the whole store again");
        } else {
            if !failed {
                log::warn!(error:% = error; "store lost");
            }
            failed = true;
            let mut board = shared.board();
            board.last_store_outage_at = Some(shared.now());
            board.store_answers = false;
        }
        // The jitter keeps instances from returning to the store at the same time.
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Waits until this instance must read the store: because it is one of the region's store
/// readers, because no other instance of the region can read it, or to find out whether the
/// store answers again.
async fn wait_until_reader(shared: &Shared) {
    let started_at = shared.now();
    loop {
        {
            let now = shared.now();
            let mut board = shared.board();
            if !board.store_answers && now.saturating_sub(started_at) > RETRY_READING_AFTER {
                // Assumes that the store answers again, so that this instance may become a reader
                // and try.
                board.store_answers = true;
            }
            if board.is_store_reader(now) || !board.can_another_read_store(now) {
                return;
            }
        }
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Waits until two consecutive checks find that other instances of the region read the store.
async fn wait_until_not_reader(shared: &Shared) {
    let mut consecutive_checks = 0;
    while consecutive_checks < 2 {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        let now = shared.now();
        let board = shared.board();
        let others_read = !board.is_store_reader(now) && board.can_another_read_store(now);
        consecutive_checks = if others_read {
            consecutive_checks + 1
        } else {
            0
        };
    }
}

/// Reads all items and then watches for changes, until a call fails. `failed` says whether the
/// store failed before, and is reset once all items were read.
async fn read_and_watch(
    shared: &Arc<Shared>,
    failed: &mut bool,
) -> Result<std::convert::Infallible, Error> {
    let mut client = connect(shared).await?;
    let mut era = None;
    let revision = read_all(shared, &mut client, &mut era, *failed).await?;
    let recovered = std::mem::take(failed);
    shared.board().store_answers = true;
    if recovered {
        log::info!(revision; "store regained");
    }
    watch(shared, client, revision, era).await
}

/// A connection to the store.
struct Client {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
}

async fn connect(shared: &Shared) -> Result<Client, Error> {
    let address = shared.settings().store.address;
    let stream = socket::connect(address, CALL_TIMEOUT).await?;
    let (stream, meter) = Metered::new(stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "store connection failed");
        }
    });
    Ok(Client {
        address,
        sender,
        meter,
    })
}

/// Calls the store, which was in `era`, and returns the body of its response.
async fn call(
    shared: &Shared,
    client: &mut Client,
    path: &str,
    wait: Duration,
    era: &mut Option<u16>,
) -> Result<Bytes, Error> {
    let mut req = Request::new(Full::new(Bytes::new()));
    if let Ok(uri) = path.parse() {
        *req.uri_mut() = uri;
    }
    if client.address != shared.settings().store.address {
        return Err(Error::AddressChanged);
    }
    if let Ok(host) = client.address.to_string().parse() {
        req.headers_mut().insert(HOST, host);
    }
    metrics::counter!("sesamebarrow_store_calls_total").increment(1);
    let round_trip = async {
        client.sender.ready().await?;
        client.meter.reset();
        let response = client.sender.send_request(req).await?;
        client.meter.reset();
        let status = response.status();
        let era = platform_store::read_era(response.headers());
        let body = MeteredBody::new(response.into_body(), client.meter.clone());
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(Error::Body)?.to_bytes();
        Ok::<_, Error>((status, era, body))
    };
    let limit = wait + CALL_TIMEOUT;
    let (status, answered_era, body) = tokio::time::timeout(limit, round_trip)
        .await
        .map_err(|_| Error::TimedOut(limit))??;
    if let Some(answered) = answered_era.filter(|answered| *answered < shared.catalog().era()) {
        return Err(Error::EarlierEra(answered));
    }
    if let Some(answered) = answered_era
        && era.replace(answered).is_some_and(|known| known != answered)
    {
        return Err(Error::EraChanged(answered));
    }
    if platform_store::is_history_compacted(status) {
        return Err(Error::HistoryCompacted);
    }
    if status != StatusCode::OK {
        return Err(Error::Status(status));
    }
    Ok(body)
}

/// Returns the era of a response, that of the catalog if the response names none.
fn era_or_known(shared: &Shared, era: Option<u16>) -> u16 {
    era.unwrap_or_else(|| shared.catalog().era())
}

/// Reads all items and returns the revision after which to watch for changes. `recovered` says whether the store failed
/// before.
async fn read_all(
    shared: &Arc<Shared>,
    client: &mut Client,
    era: &mut Option<u16>,
    recovered: bool,
) -> Result<u64, Error> {
    let mut pages = Pages::default();
    let mut next_after = None;
    loop {
        let path = platform_store::range_path(platform_store::ALL_KEYS, next_after.as_deref());
        let body = call(shared, client, &path, Duration::ZERO, era).await?;
        let page = platform_store::decode_page(&body, era_or_known(shared, *era))?;
        pages.add_page(page.items, page.revision);
        next_after = page.next;
        if next_after.is_none() {
            break;
        }
    }
    if let Some(since) = pages.missing_since() {
        let path = platform_store::watch_path(platform_store::ALL_KEYS, since, CATCH_UP_WAIT);
        let body = call(shared, client, &path, CATCH_UP_WAIT, era).await?;
        let missing = platform_store::decode_watch_response(&body, era_or_known(shared, *era))?;
        log::info!(
            since, until = missing.revision, changes = missing.changes.len();
            "store changed while it was read"
        );
        pages.add_changes(missing.changes, missing.revision);
        if pages.missing_since().is_some() {
            return Err(Error::ChangesMissing);
        }
    }
    let read = pages.into_delta();
    let mut catalog = shared.catalog();
    let known = catalog.revision;
    if recovered {
        // The outage lasted until now. Entries that expired during it may still be published again.
        shared.board().last_store_outage_at = Some(shared.now());
    }
    apply_delta(shared, &mut catalog, &read);
    if catalog.revision > known {
        shared.catalog_updated.notify_one();
    }
    Ok(read.revision)
}

async fn watch(
    shared: &Arc<Shared>,
    mut client: Client,
    mut revision: u64,
    mut era: Option<u16>,
) -> Result<std::convert::Infallible, Error> {
    loop {
        let path = platform_store::watch_path(platform_store::ALL_KEYS, revision, WATCH_WAIT);
        let body = call(shared, &mut client, &path, WATCH_WAIT, &mut era).await?;
        let response = platform_store::decode_watch_response(&body, era_or_known(shared, era))?;
        revision = revision.max(response.revision);
        let mut catalog = shared.catalog();
        apply(shared, &mut catalog, &response.changes);
        if !response.changes.is_empty() {
            shared.catalog_updated.notify_one();
        }
    }
}

/// Prepares for the changes that lead to `revision`. If it is of a later era than the catalog, what the
/// restored copy lacks is kept for a while, as after an outage: it is published again.
fn begin_era(shared: &Shared, catalog: &Catalog, revision: u64) {
    let era = Position::unpack(revision).era;
    let mut board = shared.board();
    board.store_era = board.store_era.max(era);
    if catalog.revision > 0 && era > catalog.era() {
        log::warn!(era, before = catalog.era(); "store began a new era");
        board.last_store_outage_at = Some(shared.now());
    }
}

/// Applies a delta to the catalog, and to the board what is new to the catalog.
pub fn apply_delta(shared: &Shared, catalog: &mut Catalog, delta: &Delta) {
    let since = catalog.revision;
    let changes = catalog.changes_from(delta);
    begin_era(shared, catalog, delta.revision);
    apply(shared, catalog, &changes);
    catalog.advance_by(delta, since);
    shared.board().revision = catalog.revision;
}

/// Applies all changes that follow the catalog's revision, and to the board those that are new to the catalog.
pub fn apply(shared: &Shared, catalog: &mut Catalog, changes: &[Change]) {
    for change in changes {
        let kept = kept_config(catalog, change);
        let change = kept.as_ref().unwrap_or(change);
        if catalog.apply(change) {
            apply_change(shared, change);
        }
    }
    let mut board = shared.board();
    board.revision = board.revision.max(catalog.revision);
}

/// Returns the known configuration in place of an older one, or of none, that a restored store
/// contains; otherwise instances that start would get it from this one.
fn kept_config(catalog: &Catalog, change: &Change) -> Option<Change> {
    let known = catalog.items.get(&change.key)?;
    let era = |revision| Position::unpack(revision).era;
    if era(change.revision) == era(known.revision) || item::parse_key(&change.key) != Key::Config {
        return None;
    }
    let version = |item: &Item| item::decode_config(&item.value).map_or(0, |c| c.version);
    let is_older = |item: &Item| version(item) < version(known);
    change.item.as_ref().is_none_or(is_older).then(|| Change {
        key: change.key.clone(),
        item: Some(Item {
            value: known.value.clone(),
            revision: change.revision,
        }),
        revision: change.revision,
    })
}

/// Puts a configuration that another instance has in force, if it is newer than this one's.
pub fn adopt_config(shared: &Shared, catalog: &mut Catalog, key: &SmolStr, item: &Item) {
    if item::parse_key(key) != Key::Config {
        return;
    }
    let config = match item::decode_config(&item.value) {
        Ok(config) => config,
        Err(error) => {
            log::warn!(error:% = error; "cannot decode the configuration of another instance");
            return;
        }
    };
    let version = config.version;
    if shared.board().apply_config(shared.now(), config) {
        log::info!(version; "configuration in force, from another instance");
        let revision = catalog.items.get(key).map_or(item.revision, |i| i.revision);
        let value = item.value.clone();
        catalog.items.insert(key.clone(), Item { value, revision });
    }
}

/// Applies the published upstreams that the board does not know. Their failure domains were unknown before.
pub fn apply_unknown_upstreams(shared: &Shared) {
    let catalog = shared.catalog();
    for (key, item) in &catalog.items {
        if let Key::Upstream(id) = item::parse_key(key)
            && shared.board().upstreams.key(id).is_none()
        {
            apply_change(
                shared,
                &Change {
                    key: key.clone(),
                    item: Some(item.clone()),
                    revision: item.revision,
                },
            );
        }
    }
}

fn apply_change(shared: &Shared, change: &Change) {
    let now = shared.now();
    let value = change.item.as_ref().map(|i| i.value.as_slice());
    let key = change.key.as_str();
    let revision = change.revision;
    match (item::parse_key(key), value) {
        (Key::Config, Some(value)) => match item::decode_config(value) {
            Ok(config) => {
                let version = config.version;
                if shared.board().apply_config(now, config) {
                    log::info!(version, revision; "configuration in force");
                }
            }
            Err(error) => {
                log::error!(
                    error:% = error, revision; "cannot decode configuration, keeping the old one"
                );
            }
        },
        (Key::Upstream(id), Some(value)) => match item::decode_upstream(id, value) {
            Ok(entry) => {
                log::info!(
                    upstream = id, service = entry.service.as_str(), ready = entry.ready,
                    cold_ms = entry.cold_remaining.as_millis(), revision; "upstream published"
                );
                shared.board().put_upstream(now, entry);
            }
            Err(error) => {
                log::warn!(
                    key, error:% = error, revision;
                    "cannot decode upstream entry, removing the upstream"
                );
                shared.board().remove_upstream(now, id);
            }
        },
        (Key::Upstream(id), None) => {
            log::info!(upstream = id, revision; "upstream entry gone");
            shared.board().remove_upstream(now, id);
        }
        (Key::Evacuation(domain), value) => {
            let mut board = shared.board();
            let begins = value.is_some();
            log::info!(domain, begins, revision; "evacuation");
            board.set_evacuated(now, domain, begins);
        }
        (Key::Config | Key::Other, _) => log::debug!(key, revision; "item ignored"),
    }
}
