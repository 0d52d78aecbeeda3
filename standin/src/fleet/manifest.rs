//! Publishing of a manifest on the fake platform.

use std::net::SocketAddr;

use banyanarch::units::ContentHash;
use hyper::Method;
use serde_json::json;

use crate::fleet::FleetError;
use crate::http::call_json;

/// Publishes `text` as the first generation, in one conditional write.
pub async fn publish(platform: SocketAddr, text: &str) -> Result<(), FleetError> {
    let object = json!({
        "metadata": {"name": "current"},
        "spec": {
            "generation": 1,
            "publish_id": format!("{:032x}", rand::random::<u128>()),
            "hash": ContentHash::of(text.as_bytes()),
            "text": text,
        },
    });
    let path = "/apis/banyanarch.dev/v1/manifests";
    let written = call_json(platform, Method::POST, path, &object).await;
    written
        .map(drop)
        .map_err(|e| FleetError(format!("publish: {e}")))
}
