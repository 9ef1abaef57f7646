//! Callers learn the length of a response wherever it is known, and keep their connection after it.

use super::*;

/// Larger than what is buffered on the way to a caller.
const LARGE: usize = 3_000_000;

/// What a caller asks for, and what it must receive.
struct Case {
    method: &'static str,
    version: &'static str,
    path: &'static str,
    length: Option<usize>,
    /// Number of bytes after the head.
    body: usize,
}

const GET: Case = Case {
    method: "GET",
    version: "HTTP/1.1",
    path: "",
    length: None,
    body: 0,
};

const fn with_length(path: &'static str, length: usize) -> Case {
    Case {
        path,
        length: Some(length),
        body: length,
        ..GET
    }
}

const CASES: [Case; 8] = [
    with_length("/length/2", 2),
    with_length("/length/3000000", LARGE),
    with_length("/length/0", 0),
    Case {
        path: "/status/204",
        ..GET
    },
    Case {
        path: "/status/304",
        ..GET
    },
    Case {
        method: "HEAD",
        body: 0,
        ..with_length("/length/7", 7)
    },
    Case {
        version: "HTTP/1.0",
        ..with_length("/length/2", 2)
    },
    Case {
        method: "HEAD",
        version: "HTTP/1.0",
        body: 0,
        ..with_length("/length/7", 7)
    },
];

/// Writes a request to `stream`, and reads the head of its response in lower case.
async fn send(
    stream: &mut tokio::net::TcpStream,
    first_line: &str,
    fields: &str,
) -> anyhow::Result<String> {
    let text = format!(
        "{first_line}\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nconnection: keep-alive\r\n\
         content-length: 0\r\n{fields}\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8(head)?.to_ascii_lowercase())
}

fn assert_length(head: &str, length: Option<usize>) {
    assert!(!head.contains("transfer-encoding"), "{head}");
    let stated = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    assert_eq!(stated, length.map(|l| l.to_string()).as_deref(), "{head}");
}

/// Sends each case on one connection.
async fn check_cases(http: SocketAddr) -> anyhow::Result<()> {
    let mut stream = tokio::net::TcpStream::connect(http).await?;
    for case in &CASES {
        let line = format!("{} /s/payouts{} {}", case.method, case.path, case.version);
        let head = send(&mut stream, &line, "").await?;
        assert!(!head.contains("outcome"), "{line}: {head}");
        assert_length(&head, case.length);
        stream.read_exact(&mut vec![0; case.body]).await?;
    }
    Ok(())
}

process_test!(a_response_keeps_its_length, env, {
    check_cases(env.fleet.instance(0).http).await?;
});

process_test!(a_response_behind_a_hop_keeps_its_length, env, {
    // Piura has no upstream of its own.
    let rules = rules(&[KEY]).replace("regions=lima ", "regions=lima,piura ");
    env.fleet.platform.publish("rules", 2, rules);
    let http = env.fleet.instance(2).http;
    let bearer = bearer(KEY);
    wait_until("a forwarded request to succeed", || async {
        let headers = [("authorization", bearer.as_str())];
        http::call(http, "GET", "/s/payouts/length/1", &headers, "")
            .await
            .is_ok_and(|r| r.status == 200)
    })
    .await?;
    check_cases(http).await?;
});

process_test!(a_stored_response_keeps_its_length, env, {
    let (a, b) = (env.fleet.instance(0).http, env.fleet.instance(1).http);
    let ticket = fetch_ticket(a).await?;
    for http in [a, b, a] {
        let mut stream = tokio::net::TcpStream::connect(http).await?;
        let field = format!("idempotency-key: {ticket}\r\n");
        let head = send(&mut stream, "POST /s/payouts/payouts HTTP/1.1", &field).await?;
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert_length(&head, Some("{\"upstream\":\"pay-lim\",\"ok\":true}".len()));
    }
});

process_test!(an_event_stream_states_no_length, env, {
    let mut stream = tokio::net::TcpStream::connect(env.fleet.instance(0).http).await?;
    let head = send(&mut stream, "POST /s/statements/g HTTP/1.1", "").await?;
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    assert!(!head.contains("content-length"), "{head}");
});
