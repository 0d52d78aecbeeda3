//! Tests of `banyanarch status`, `explain` and `diff` against fake hosts and a fake platform.

mod workdir;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use tokio::net::TcpSocket;
use workdir::WorkDir;

const REQUEST: &str = "0000000000000000000000000000000a";

/// Starts an HTTP server that answers the given paths with JSON and all others with 404. Each
/// connection serves one request.
fn serve(pages: &'static [(&'static str, &'static str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = Vec::new();
            for line in BufReader::new(&stream).lines() {
                let line = line.unwrap();
                if line.is_empty() {
                    break;
                }
                head.push(line);
            }
            let path = head[0].split(' ').nth(1).unwrap().to_owned();
            let page = pages.iter().find(|(known, _)| *known == path);
            let (status, body) = page.map_or(("404 Not Found", ""), |(_, body)| ("200 OK", body));
            let len = body.len();
            let head = format!("HTTP/1.1 {status}\r\nContent-Length: {len}\r\nConnection: close");
            write!(stream, "{head}\r\n\r\n{body}").unwrap();
        }
    });
    addr
}

/// A port that is bound without listening: it refuses connections, and nothing else is given it
/// while the socket exists.
fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// A request was received by one host and granted by another, and a third host is unreachable. The
/// operator must see the steps of both hosts in order, and that steps of the third may be missing.
#[test]
fn explain_merges_the_steps_of_several_hosts() {
    let entry = serve(&[(
        "/explain/0000000000000000000000000000000a",
        r#"{"host":"hall-a-1","left_out":0,"steps":[
            {"wall_ms":1000,"elapsed_ms":0,"what":"received","place":"","why":"42 tokens"},
            {"wall_ms":1090,"elapsed_ms":90,"what":"dispatched","place":"engine-3","why":""}]}"#,
    )]);
    let home = serve(&[(
        "/explain/0000000000000000000000000000000a",
        r#"{"steps":[{"wall_ms":1040,"what":"granted","place":"engine-3","why":"prefix"}]}"#,
    )]);
    let closed = closed_port();
    let unreachable = closed.local_addr().unwrap();
    let (entry, home, unreachable) = (entry.to_string(), home.to_string(), unreachable.to_string());
    let dir = WorkDir::new();
    let hosts = ["--host", &home, "--host", &entry, "--host", &unreachable];
    let output = dir.run(&[&["explain", REQUEST], &hosts[..]].concat());
    assert_eq!(output.code, 0, "{output:?}");
    let lines: Vec<&str> = output.stdout.lines().map(str::trim).collect();
    assert_eq!(lines[0], format!("{REQUEST}:"));
    assert!(lines[1].starts_with("0 ms  hall-a-1") && lines[1].ends_with("received  42 tokens"));
    assert_eq!(
        lines[2],
        format!("40 ms  {home:15}  granted  engine-3  prefix")
    );
    assert!(lines[3].starts_with("90 ms  hall-a-1") && lines[3].ends_with("dispatched  engine-3"));
    assert!(
        output.stderr.contains(&unreachable) && output.stderr.contains("its steps are missing")
    );

    let output = dir.run(&["explain", &REQUEST.replace('a', "b"), "--host", &entry]);
    assert_eq!(output.code, 1, "{output:?}");
    let output = dir.run(&["explain", REQUEST, "--host", &unreachable]);
    assert_eq!(output.code, 3, "{output:?}");
}

#[test]
fn status_shows_a_hosts_view_as_text_and_json() {
    let host = serve(&[(
        "/status",
        r#"{"host":"hall-a-1","generation":7,"upstreams":[
            {"id":"engine-1","health":"live","load":{"running":3}},
            {"id":"engine-22","health":"leaving"}],"homes":[],"manifest":{"confirmed_ago":{"secs":2,"nanos":39718955}}}"#,
    )]);
    let dir = WorkDir::new();
    let output = dir.run(&["status", "--host", &host.to_string()]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(
        output.stdout,
        "host: hall-a-1\n\
         generation: 7\n\
         homes: -\n\
         manifest:\n  confirmed_ago: 2.040s\n\
         upstreams:\n  \
           id         health   load.running\n  \
           engine-1   live     3\n  \
           engine-22  leaving  -\n"
    );
    let output = dir.run(&["status", "--json", "--host", &host.to_string()]);
    let json: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(json["generation"], 7);
}

#[test]
fn status_reads_the_reports_of_all_hosts_from_the_platform() {
    let platform = serve(&[
        (
            "/apis/banyanarch.dev/v1/manifests/current",
            r#"{"apiVersion":"banyanarch.dev/v1","kind":"manifests",
                "metadata":{"name":"current","resourceVersion":"4"},
                "spec":{"generation":9,"publish_id":"p","hash":
                "00000000000000000000000000000001","text":""}}"#,
        ),
        (
            "/apis/banyanarch.dev/v1/statuses",
            r#"{"metadata":{"resourceVersion":"5"},"items":[
                {"apiVersion":"banyanarch.dev/v1","kind":"statuses",
                 "metadata":{"name":"hall-b-1","resourceVersion":"3"},"spec":{"generation":8,"homes":[{"pool":"p"}]}}]}"#,
        ),
    ]);
    let output = WorkDir::new().run(&["status", "--platform", &platform.to_string()]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(
        output.stdout,
        "published_generation: 9\nreports:\n  host      generation  homes\n  hall-b-1  8           (1 entries)\n"
    );
}

#[test]
fn a_diff_says_if_no_manifest_is_published() {
    let platform = serve(&[]).to_string();
    let dir = WorkDir::new();
    dir.write_file("m.yaml", include_str!("../examples/desai/manifest.yaml"));
    let output = dir.run(&["diff", "m.yaml", "--platform", &platform]);
    assert_eq!(output.code, 1, "{output:?}");
    assert_eq!(
        output.stdout,
        "no manifest is published; all of it is new\n"
    );
}
