//! Replies to callers, as their bodies end.

use banyanarch::entry::Reply;
use banyanarch::entry::ReplyBody;
use banyanarch::entry::ReplyFormat;
use banyanarch::entry::Usage;
use banyanarch::units::RequestId;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::oneshot;

/// A reply of a plain service whose head and first bytes have been sent, and its response.
async fn started_reply() -> (Reply, Response<ReplyBody>) {
    let (head_tx, head_rx) = oneshot::channel();
    let host = "host".parse().unwrap();
    let mut reply = Reply::new(RequestId(1), host, head_tx);
    reply.set_format(ReplyFormat::PassThrough, "");
    reply.send_service_head(200, None).unwrap();
    reply.send_data(Bytes::from_static(b"first")).await.unwrap();
    (reply, head_rx.await.unwrap())
}

/// Guards against a part of a reply that looks like the whole: the task that sends it was dropped or
/// has panicked, or the caller has read nothing for too long.
#[tokio::test]
async fn a_reply_that_is_dropped_does_not_look_complete() {
    let (reply, res) = started_reply().await;
    drop(reply);
    let body = res.into_body().collect().await;
    assert!(body.is_err(), "the body ends like a complete one");
}

/// A complete reply must end as one.
#[tokio::test]
async fn a_complete_reply_ends_without_an_error() {
    let (mut reply, res) = started_reply().await;
    reply.complete("stop", Usage::default()).await.unwrap();
    let body = res.into_body().collect().await.unwrap();
    assert_eq!(body.to_bytes(), Bytes::from_static(b"first"));
}
