//! Measures what the gateway adds, against calling the stand-ins directly in one run.
//!
//! Run with `cargo build --release && cargo run --release -p sesamebarrow_standin --example bench`.
//!
//! Shows the added latency, requests for each second of processor time, memory for each
//! 1,000 open streams, an idle process, and warm links between instances against a
//! connection for each forwarded request over an emulated 80 ms.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use sesamebarrow_rules::KeyDigest;
use sesamebarrow_standin::relay::Relay;
use sesamebarrow_standin::{Deployment, Fleet, deploy};
use sesamebarrow_wire::auth::{FleetKeys, Hello, NONCE_BYTES, PROTOCOL_VERSION, Role};
use sesamebarrow_wire::control::Heartbeat;
use sesamebarrow_wire::stream::{End, Open};
use sesamebarrow_wire::{Codec, Payload};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

const KEY: &str = "bench-key-0001-0001";
const STREAMS: usize = 1000;
const SEQUENTIAL: usize = 3000;
const CLIENTS: usize = 32;
const LOADED: Duration = Duration::from_secs(5);
const FORWARDS: usize = 20;
const ONE_WAY: Duration = Duration::from_millis(40);

fn rules() -> String {
    let digest = KeyDigest::of(KEY.as_bytes());
    format!(
        "region lima # b\ndomain lim-1 region=lima slots=2 # b\n\
         service statements kind=model # b\nservice payouts kind=plain # b\n\
         customer paita regions=lima rate=1000000000 burst=1000000000 # b\n\
         allow paita statements # b\nallow paita payouts # b\n\
         key paita blake3={digest} # b\nroute payouts GET /status idempotent # b\n"
    )
}

/// A kept connection.
struct Client {
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    async fn get(&mut self, path: &str) -> anyhow::Result<()> {
        let req = Request::builder()
            .uri(path)
            .header("host", "bench")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::default())?;
        self.sender.ready().await?;
        let response = self.sender.send_request(req).await?;
        anyhow::ensure!(response.status() == 200, "status {}", response.status());
        response.into_body().collect().await?;
        Ok(())
    }
}

/// What a process has used.
struct Usage {
    cpu: Duration,
    resident: u64,
}

fn usage(pid: u32) -> anyhow::Result<Usage> {
    const TICK: Duration = Duration::from_millis(10);
    const PAGE_BYTES: u64 = 4096;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    let ticks = u32::try_from(fields[11] + fields[12])?;
    Ok(Usage {
        cpu: TICK * ticks,
        resident: fields[21] * PAGE_BYTES,
    })
}

fn show(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: p50 {} us, p99 {} us",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99)
    );
}

async fn measure_latency(direct: SocketAddr, gateway: SocketAddr) -> anyhow::Result<()> {
    let mut clients = [
        Client::connect(direct).await?,
        Client::connect(gateway).await?,
    ];
    let paths = ["/status", "/s/payouts/status"];
    let mut histograms = [Histogram::<u64>::new(3)?, Histogram::<u64>::new(3)?];
    for _ in 0..SEQUENTIAL {
        for side in 0..2 {
            let clock = Instant::now();
            clients[side].get(paths[side]).await?;
            histograms[side].record(u64::try_from(clock.elapsed().as_micros())?)?;
        }
    }
    show("direct", &histograms[0]);
    show("through the gateway", &histograms[1]);
    Ok(())
}

async fn measure_throughput(gateway: SocketAddr, pid: u32) -> anyhow::Result<()> {
    let before = usage(pid)?;
    let clock = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..CLIENTS {
        tasks.push(tokio::spawn(async move {
            let mut client = Client::connect(gateway).await?;
            let mut done = 0u32;
            while clock.elapsed() < LOADED {
                client.get("/s/payouts/status").await?;
                done += 1;
            }
            anyhow::Ok(done)
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await??;
    }
    let cpu = usage(pid)?.cpu.saturating_sub(before.cpu);
    println!(
        "{CLIENTS} callers: {:.0} requests/s, {:.0} for each second of processor time",
        f64::from(done) / clock.elapsed().as_secs_f64(),
        f64::from(done) / cpu.as_secs_f64()
    );
    Ok(())
}

async fn measure_streams(gateway: SocketAddr, pid: u32) -> anyhow::Result<()> {
    let before = usage(pid)?;
    let mut open = Vec::new();
    for _ in 0..STREAMS {
        let stream = TcpStream::connect(gateway).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let req = Request::builder()
            .method("POST")
            .uri("/s/statements/generate")
            .header("host", "bench")
            .header("authorization", format!("Bearer {KEY}"))
            .header("x-max-tokens", "100000")
            .body(Full::new(Bytes::from_static(b"{\"max_tokens\":100000}")))?;
        let response = sender.send_request(req).await?;
        anyhow::ensure!(response.status() == 200, "status {}", response.status());
        open.push((sender, response));
    }
    let grown = usage(pid)?.resident.saturating_sub(before.resident);
    println!(
        "{STREAMS} open streams: {:.1} MiB more, {:.1} KiB each",
        grown as f64 / 1024.0 / 1024.0,
        grown as f64 / 1024.0 / STREAMS as f64
    );
    drop(open);
    Ok(())
}

async fn measure_idle(pid: u32) -> anyhow::Result<()> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = usage(pid)?;
    tokio::time::sleep(LOADED).await;
    let after = usage(pid)?;
    println!(
        "idle: {:.2}% of a core, {:.1} MiB",
        100.0 * after.cpu.saturating_sub(before.cpu).as_secs_f64() / LOADED.as_secs_f64(),
        after.resident as f64 / 1024.0 / 1024.0
    );
    Ok(())
}

type Wire = Framed<TcpStream, Codec>;

/// Opens a link as an instance would.
async fn link(address: SocketAddr, name: &str) -> anyhow::Result<Wire> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut wire = Framed::new(stream, Codec::default());
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let mine = Hello {
        version: PROTOCOL_VERSION,
        name: name.to_owned(),
        domain: "lim-1".to_owned(),
        incarnation: rand::random(),
        nonce: Bytes::copy_from_slice(&nonce),
    };
    wire.send(Payload::Hello(mine.clone())).await?;
    let Some(Ok(Payload::Hello(theirs))) = wire.next().await else {
        anyhow::bail!("no greeting");
    };
    let keys = FleetKeys::new(deploy::SECRET.as_bytes());
    let proof = keys.prove(Role::Dialler, &mine, &theirs);
    wire.send(Payload::Proof(proof)).await?;
    let Some(Ok(Payload::Proof(_))) = wire.next().await else {
        anyhow::bail!("no proof");
    };
    Ok(wire)
}

/// Forwards one request and waits for its whole answer.
async fn forward(wire: &mut Wire, stream: u64) -> anyhow::Result<()> {
    let open = Open {
        stream,
        request_id: "bench".to_owned(),
        customer: "paita".to_owned(),
        service: "payouts".to_owned(),
        method: "GET".to_owned(),
        path: "/status".to_owned(),
        deadline_ms: 10_000,
        reserved_tokens: 1,
        hops: 1,
        ..Open::default()
    };
    let beat = Heartbeat {
        sequence: stream,
        ready: true,
        ..Heartbeat::default()
    };
    wire.send(Payload::Heartbeat(beat)).await?;
    wire.send(Payload::Open(open)).await?;
    wire.send(Payload::End(End { stream })).await?;
    while let Some(payload) = wire.next().await {
        match payload? {
            Payload::End(end) if end.stream == stream => return Ok(()),
            Payload::Refused(refused) => anyhow::bail!("refused: {}", refused.reason),
            _ => {}
        }
    }
    anyhow::bail!("the link ended")
}

async fn measure_links(peer: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let far = listener.local_addr()?;
    let relay = tokio::spawn(Relay::new(peer, ONE_WAY).serve(listener));
    let mut warm = Histogram::<u64>::new(3)?;
    let mut cold = Histogram::<u64>::new(3)?;
    let mut kept = link(far, "bench-warm").await?;
    for round in 0..FORWARDS {
        let clock = Instant::now();
        forward(&mut kept, 2 * round as u64 + 1).await?;
        warm.record(u64::try_from(clock.elapsed().as_micros())?)?;
        let clock = Instant::now();
        let mut fresh = link(far, &format!("bench-cold-{round}")).await?;
        forward(&mut fresh, 1).await?;
        cold.record(u64::try_from(clock.elapsed().as_micros())?)?;
    }
    show("forward over 80 ms, warm link", &warm);
    show("forward over 80 ms, connection for each", &cold);
    relay.abort();
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("sesamebarrow-bench-{}", std::process::id()));
    let mut deployment = Deployment::new()?;
    deployment.add_instance("lim-1-a", "lim-1", 0)?;
    deployment.add_instance("lim-1-b", "lim-1", 1)?;
    deployment.add_upstream("eng-lim", "lim-1", "statements", 100_000)?;
    deployment.add_upstream("pay-lim", "lim-1", "payouts", 100_000)?;
    let fleet = Fleet::start(deployment, &rules(), &["statements"], &folder).await?;
    let gateway = fleet.instance(0).http;
    let direct = fleet.deployment.upstreams[1].http;
    let pid = fleet.instances[0].id();
    measure_idle(pid).await?;
    measure_latency(direct, gateway).await?;
    measure_throughput(gateway, pid).await?;
    measure_links(fleet.instance(0).peer).await?;
    measure_streams(gateway, pid).await?;
    drop(fleet);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
