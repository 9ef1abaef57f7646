//! Measures the overhead of the gateway against direct calls to the stand-ins in the same run.
//!
//! Run with `cargo build --release && cargo run --release -p sesamebarrow_standin --example bench`.
//!
//! Prints the added latency, the requests per second of processor time, the memory of 1,000
//! open streams, and the processor time and memory of an idle instance. Also compares
//! forwarding over an open link between instances with opening a link for each request, at
//! an emulated round trip of 80 ms.

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
use sesamebarrow_standin::{DeploymentSpec, Fleet, deploy};
use sesamebarrow_wire::auth::{FleetKeys, Hello, NONCE_BYTES, PROTOCOL_VERSION, Role};
use sesamebarrow_wire::control::Heartbeat;
use sesamebarrow_wire::stream::{End, Open};
use sesamebarrow_wire::{Codec, Payload};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

const KEY: &str = "bench-key-0001-0001";
const OPEN_STREAMS: usize = 1000;
const SEQUENTIAL_REQUESTS: usize = 3000;
const CONCURRENT_CLIENTS: usize = 32;
const MEASURED_TIME: Duration = Duration::from_secs(5);
const FORWARDED_REQUESTS: usize = 20;
const ONE_WAY_DELAY: Duration = Duration::from_millis(40);

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

/// A persistent connection to an HTTP server.
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

/// Resources that a process has used.
struct Usage {
    cpu: Duration,
    resident_bytes: u64,
}

fn usage(pid: u32) -> anyhow::Result<Usage> {
    const CLOCK_TICK: Duration = Duration::from_millis(10);
    const PAGE_BYTES: u64 = 4096;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // Fields after the program name, so index 0 is field 3 of proc(5).
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    // utime and stime.
    let ticks = u32::try_from(fields[11] + fields[12])?;
    Ok(Usage {
        cpu: CLOCK_TICK * ticks,
        // rss, in pages.
        resident_bytes: fields[21] * PAGE_BYTES,
    })
}

fn print_percentiles(name: &str, histogram: &Histogram<u64>) {
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
    for _ in 0..SEQUENTIAL_REQUESTS {
        for side in 0..2 {
            let started = Instant::now();
            clients[side].get(paths[side]).await?;
            histograms[side].record(u64::try_from(started.elapsed().as_micros())?)?;
        }
    }
    print_percentiles("direct", &histograms[0]);
    print_percentiles("through the gateway", &histograms[1]);
    Ok(())
}

async fn measure_throughput(gateway: SocketAddr, pid: u32) -> anyhow::Result<()> {
    let before = usage(pid)?;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENT_CLIENTS {
        tasks.push(tokio::spawn(async move {
            let mut client = Client::connect(gateway).await?;
            let mut completed = 0u32;
            while started.elapsed() < MEASURED_TIME {
                client.get("/s/payouts/status").await?;
                completed += 1;
            }
            anyhow::Ok(completed)
        }));
    }
    let mut completed = 0;
    for task in tasks {
        completed += task.await??;
    }
    let cpu = usage(pid)?.cpu.saturating_sub(before.cpu);
    println!(
        "{CONCURRENT_CLIENTS} callers: {:.0} requests/s, {:.0} for each second of processor time",
        f64::from(completed) / started.elapsed().as_secs_f64(),
        f64::from(completed) / cpu.as_secs_f64()
    );
    Ok(())
}

async fn measure_streams(gateway: SocketAddr, pid: u32) -> anyhow::Result<()> {
    let before = usage(pid)?;
    let mut open = Vec::new();
    for _ in 0..OPEN_STREAMS {
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
    let added_bytes = usage(pid)?
        .resident_bytes
        .saturating_sub(before.resident_bytes);
    println!(
        "{OPEN_STREAMS} open streams: {:.1} MiB more, {:.1} KiB each",
        added_bytes as f64 / 1024.0 / 1024.0,
        added_bytes as f64 / 1024.0 / OPEN_STREAMS as f64
    );
    drop(open);
    Ok(())
}

async fn measure_idle(pid: u32) -> anyhow::Result<()> {
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = usage(pid)?;
    tokio::time::sleep(MEASURED_TIME).await;
    let after = usage(pid)?;
    println!(
        "idle: {:.2}% of a core, {:.1} MiB",
        100.0 * after.cpu.saturating_sub(before.cpu).as_secs_f64() / MEASURED_TIME.as_secs_f64(),
        after.resident_bytes as f64 / 1024.0 / 1024.0
    );
    Ok(())
}

type Link = Framed<TcpStream, Codec>;

/// Opens an authenticated link to an instance, as another instance does.
async fn open_link(address: SocketAddr, name: &str) -> anyhow::Result<Link> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut link = Framed::new(stream, Codec::default());
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let local_hello = Hello {
        version: PROTOCOL_VERSION,
        name: name.to_owned(),
        domain: "lim-1".to_owned(),
        incarnation: rand::random(),
        nonce: Bytes::copy_from_slice(&nonce),
    };
    link.send(Payload::Hello(local_hello.clone())).await?;
    let Some(Ok(Payload::Hello(remote_hello))) = link.next().await else {
        anyhow::bail!("peer {address} sent no hello");
    };
    let keys = FleetKeys::new(deploy::SECRET.as_bytes());
    let proof = keys.prove(Role::Dialler, &local_hello, &remote_hello);
    link.send(Payload::Proof(proof)).await?;
    let Some(Ok(Payload::Proof(_))) = link.next().await else {
        anyhow::bail!("peer {address} sent no proof of the shared secret");
    };
    Ok(link)
}

/// Forwards one request over `link` and waits for the end of its response.
async fn forward(link: &mut Link, stream: u64) -> anyhow::Result<()> {
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
    let heartbeat = Heartbeat {
        sequence: stream,
        ready: true,
        ..Heartbeat::default()
    };
    // Keeps the link open: an instance closes links without recent heartbeats.
    link.send(Payload::Heartbeat(heartbeat)).await?;
    link.send(Payload::Open(open)).await?;
    link.send(Payload::End(End { stream })).await?;
    while let Some(payload) = link.next().await {
        match payload? {
            Payload::End(end) if end.stream == stream => return Ok(()),
            Payload::Refused(refused) => {
                anyhow::bail!("request refused by the peer: {}", refused.reason)
            }
            _ => {}
        }
    }
    anyhow::bail!("the link closed before the response was complete")
}

async fn measure_links(peer: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let relay_address = listener.local_addr()?;
    let relay = tokio::spawn(Relay::new(peer, ONE_WAY_DELAY).serve(listener));
    let mut reused_link_us = Histogram::<u64>::new(3)?;
    let mut new_link_us = Histogram::<u64>::new(3)?;
    let mut reused_link = open_link(relay_address, "bench-warm").await?;
    for round in 0..FORWARDED_REQUESTS {
        let started = Instant::now();
        forward(&mut reused_link, 2 * round as u64 + 1).await?;
        reused_link_us.record(u64::try_from(started.elapsed().as_micros())?)?;
        let started = Instant::now();
        let mut new_link = open_link(relay_address, &format!("bench-cold-{round}")).await?;
        forward(&mut new_link, 1).await?;
        new_link_us.record(u64::try_from(started.elapsed().as_micros())?)?;
    }
    print_percentiles("forward over 80 ms, warm link", &reused_link_us);
    print_percentiles("forward over 80 ms, connection for each", &new_link_us);
    relay.abort();
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = std::env::temp_dir().join(format!("sesamebarrow-bench-{}", std::process::id()));
    let mut deployment = DeploymentSpec::new()?;
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
