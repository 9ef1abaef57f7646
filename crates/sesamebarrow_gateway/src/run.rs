//! Starts the tasks of the process and stops them gracefully.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use hyper::{Request, Response};
use sesamebarrow_routing::Identity;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::listener::Listener;
use crate::meter::MeteredBody;
use crate::relay::Body;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::telemetry;
use crate::token::{self, Tokens};
use crate::{admin, directory, dispatch, gossip, server, store, supervise, sync};

/// Interval at which a draining process checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time before the limit of a shutdown at which this instance answers what is unanswered.
pub const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Fraction of the shutdown notice in which streaming requests are accepted. Later ones might
/// not end before the process stops.
const STREAM_ACCEPT_FRACTION: f64 = 0.9;

/// Runs the process until SIGTERM or SIGINT.
///
/// The settings file at `path` is reloaded on SIGHUP and when it changes.
pub async fn run(settings: Settings, path: &Path) -> anyhow::Result<()> {
    let metrics = telemetry::install()?;
    let mut signals = Signals::listen()?;
    let listen = settings.listen;
    let identity = build_identity(&settings);
    let client_listener = bind("listen.callers", listen.callers).await?;
    let ready_listener = bind("listen.ready", listen.ready).await?;
    let directory_listener = bind("listen.directory", listen.directory).await?;
    let sync_listener = bind("listen.sync", listen.sync).await?;
    let hop_listener = bind("listen.hop", listen.hop).await?;
    let admin_listener = bind("listen.admin", listen.admin).await?;
    let gossip_socket = UdpSocket::bind(listen.gossip)
        .await
        .with_context(|| format!("listen.gossip: cannot bind {}", listen.gossip))?;
    let token_socket = UdpSocket::bind(listen.tokens)
        .await
        .with_context(|| format!("listen.tokens: cannot bind {}", listen.tokens))?;
    let shared = Arc::new(Shared::new(settings, identity, Tokens::new(token_socket)));
    log::info!(
        name = shared.identity.name.as_str(), domain = shared.identity.domain.as_str(),
        incarnation = shared.identity.incarnation, callers:% = listen.callers; "started"
    );
    supervise(&shared, "store", store::follow);
    supervise(&shared, "sync", sync::follow);
    supervise(&shared, "tokens", token::run);
    supervise(&shared, "dispatch-queue", dispatch::client::serve_queue);
    supervise(&shared, "dispatch-notices", dispatch::place::send_notices);
    supervise(&shared, "log-limit", reset_log_limiter);
    let upkept = metrics.clone();
    supervise(&shared, "metrics", move |_| {
        telemetry::keep_up(upkept.clone())
    });
    let gossip_socket = Arc::new(gossip_socket);
    supervise(&shared, "gossip", move |shared| {
        gossip::run(shared, gossip_socket.clone())
    });
    let sync_listener = Arc::new(sync_listener);
    supervise(&shared, "sync-server", move |shared| {
        sync::serve(shared, sync_listener.clone())
    });
    // A client whose connection is refused knows that nothing was sent.
    let until_notice_ends = |socket| Listener::new(socket, shared.close_idle.clone());
    let until_end = |socket| Listener::new(socket, CancellationToken::new());
    let client_listener = until_notice_ends(client_listener);
    supervise_server(&shared, "callers", client_listener, server::handle_client);
    let hop_listener = until_notice_ends(hop_listener);
    supervise_server(&shared, "hops", hop_listener, server::handle_instance);
    let ready_listener = until_end(ready_listener);
    supervise_server(&shared, "ready", ready_listener, directory::ready);
    let directory_listener = until_end(directory_listener);
    supervise_server(&shared, "directory", directory_listener, directory::resolve);
    let admin_handler = move |shared, req| admin::handle(shared, metrics.clone(), req);
    let admin_listener = until_end(admin_listener);
    supervise_server(&shared, "admin", admin_listener, admin_handler);
    wait_for_stop(&shared, &mut signals, path).await;
    drain(&shared).await;
    Ok(())
}

fn supervise<F>(
    shared: &Arc<Shared>,
    name: &'static str,
    task: impl Fn(Arc<Shared>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let shared = shared.clone();
    supervise::spawn(name, move || task(shared.clone()));
}

fn supervise_server<F, R>(shared: &Arc<Shared>, name: &'static str, listener: Listener, handler: F)
where
    F: Fn(Arc<Shared>, Request<MeteredBody>) -> R + Clone + Send + Unpin + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = Arc::new(listener);
    supervise(shared, name, move |shared| {
        server::serve(shared, listener.clone(), handler.clone())
    });
}

async fn reset_log_limiter(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        shared.log_limiter.reset();
    }
}

fn build_identity(settings: &Settings) -> Identity {
    // The incarnation is compared only with those of earlier runs of this instance, so the clocks
    // of different hosts need not agree; see `Members::apply_datagram`.
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Identity {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        region: settings.domains[&settings.domain].clone(),
        ip: settings.ip,
        // CAST: milliseconds since 1970 fit 64 bits.
        incarnation: started.as_millis() as u64,
    }
}

async fn bind(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{field}: cannot listen on {address}"))
}

/// The signals that the process obeys. One that comes before they are listened to ends it.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for a signal to stop. Files may be slow, so that reloads do not hold it up.
async fn wait_for_stop(shared: &Shared, signals: &mut Signals, path: &Path) {
    tokio::select! {
        _ = signals.terminate.recv() => {}
        _ = signals.interrupt.recv() => {}
        () = follow_settings(shared, &mut signals.hangup, path) => {}
    }
}

/// Reloads the settings at each hangup signal and whenever their file changes.
async fn follow_settings(shared: &Shared, hangup: &mut Signal, path: &Path) {
    let mut settings_check = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
    let mut last_modified = modification_time(path).await;
    loop {
        tokio::select! {
            _ = hangup.recv() => reload(shared, path).await,
            _ = settings_check.tick() => {
                let now = modification_time(path).await;
                if now != last_modified {
                    last_modified = now;
                    reload(shared, path).await;
                }
            }
        }
    }
}

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Does `work` on a file on a thread on which it may block, within [`FILE_TIMEOUT`].
async fn on_file<T: Send + 'static>(
    path: &Path,
    work: impl FnOnce(&Path) -> T + Send + 'static,
) -> Option<T> {
    let path = path.to_owned();
    let done = tokio::task::spawn_blocking(move || work(&path));
    tokio::time::timeout(FILE_TIMEOUT, done).await.ok()?.ok()
}

/// Maximum time for reading the settings file.
const FILE_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns when the file was modified; `None` if that cannot be read.
async fn modification_time(path: &Path) -> Option<SystemTime> {
    let modified = |path: &Path| std::fs::metadata(path).and_then(|m| m.modified()).ok();
    on_file(path, modified).await.flatten()
}

/// Reloads the settings file. The log line names the fields whose changes require a restart.
async fn reload(shared: &Shared, path: &Path) {
    let Some(loaded) = on_file(path, Settings::load).await else {
        log::error!("cannot read settings in time, keeping the old ones");
        return;
    };
    match loaded {
        Ok(new) => {
            let old = shared.settings();
            let fields = old.restart_fields(&new);
            let restart = !fields.is_empty();
            let settings = old.with_reloaded(new);
            let seeds = settings.other_seeds().len();
            let (seeds_changed, domains_changed) =
                (old.seeds != settings.seeds, old.domains != settings.domains);
            shared.board().set_parameters(settings.parameters());
            if domains_changed {
                shared.board().set_regions(settings.domains.clone());
            }
            shared.set_settings(settings);
            if domains_changed {
                store::apply_unknown_upstreams(shared);
            }
            log::info!(
                restart, restart_for = fields.join(",").as_str(), seeds, seeds_changed, domains_changed;
                "settings reloaded"
            );
        }
        Err(error) => log::error!(error:% = error; "cannot reload settings, keeping the old ones"),
    }
}

/// Stops the process gracefully. It announces that it is draining, refuses streaming requests
/// shortly before the notice ends, closes idle connections when it ends, and then waits for
/// active requests until the limit. What is unanswered shortly before it is answered by this instance.
async fn drain(shared: &Shared) {
    let shutdown = shared.settings().shutdown;
    let drain_started_at = shared.now();
    shared.board().draining_since = Some(drain_started_at);
    shared.closes_connections.store(true, Ordering::Relaxed);
    log::info!(requests = shared.active_requests.load(Ordering::Relaxed); "draining");
    tokio::time::sleep(shutdown.notice.mul_f64(STREAM_ACCEPT_FRACTION)).await;
    shared.refuses_streams.store(true, Ordering::Relaxed);
    tokio::time::sleep(shutdown.notice.mul_f64(1.0 - STREAM_ACCEPT_FRACTION)).await;
    shared.close_idle.cancel();
    let busy = || shared.busy_connections.load(Ordering::Relaxed);
    let running = || shared.active_requests.load(Ordering::Relaxed);
    log::info!(busy = busy(), requests = running(); "notice ended");
    // Connections that are read for the last time begin to owe answers now.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    loop {
        let draining_for = shared.now().saturating_sub(drain_started_at);
        if draining_for + ANSWER_TIME > shutdown.limit && !shared.ends.is_cancelled() {
            log::info!(requests = running(); "answering what is left");
            shared.ends.cancel();
            // The limit may have passed already, if the process did not run for a while.
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        if busy() == 0 && running() == 0 || draining_for > shutdown.limit {
            let open = shared.inbound_connections.len();
            log::info!(cut = running(), busy = busy(), open; "stopped");
            return;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
