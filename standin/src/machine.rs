//! Registration of a fake in the platform's list of machines, where hosts find it.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use serde_json::json;

use crate::http::CallError;
use crate::http::call_json;

/// The path of the list of machines on the platform.
pub const PATH: &str = "/apis/banyanarch.dev/v1/machines";
const REGISTER_ATTEMPTS: u32 = 50;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The entry of an upstream in the platform's list of machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The name of the machine.
    pub name: String,
    /// The failure domain of the machine.
    pub domain: String,
    /// The model or service that the machine serves.
    pub target: String,
    /// The address of the fake platform.
    pub platform: SocketAddr,
}

impl Machine {
    /// Reads `--machine`, `--domain`, `--target` and `--platform`; returns `None` without
    /// `--machine`.
    pub fn from_args(args: &mut pico_args::Arguments) -> Result<Option<Self>, pico_args::Error> {
        let Some(name) = args.opt_value_from_str("--machine")? else {
            return Ok(None);
        };
        Ok(Some(Self {
            name,
            domain: args.value_from_str("--domain")?,
            target: args.value_from_str("--target")?,
            platform: args.value_from_str("--platform")?,
        }))
    }

    /// Registers the machine as live at `addr`, replacing an earlier entry of the same name.
    pub async fn register(&self, addr: SocketAddr) -> Result<(), CallError> {
        self.set_state(addr, "live").await
    }

    /// Registers the machine with a state, `live` or `leaving`. Retries for about five seconds
    /// while the platform does not accept the write.
    pub async fn set_state(&self, addr: SocketAddr, state: &str) -> Result<(), CallError> {
        let spec = json!({
            "role": "upstream",
            "target": self.target,
            "domain": self.domain,
            "address": addr.to_string(),
            "state": state,
        });
        let mut last_error = CallError::ConnectFailed("not tried".to_owned());
        for _ in 0..REGISTER_ATTEMPTS {
            match put(self.platform, PATH, &self.name, &spec).await {
                Ok(()) => return Ok(()),
                Err(e) => last_error = e,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(last_error)
    }
}

/// Creates an object or replaces it, whatever its current version is.
pub async fn put(
    platform: SocketAddr,
    path: &str,
    name: &str,
    spec: &Value,
) -> Result<(), CallError> {
    let object_path = format!("{path}/{name}");
    let (method, request_path, metadata) =
        match call_json(platform, Method::GET, &object_path, &Value::Null).await {
            Ok(object) => {
                let version = &object["metadata"]["resourceVersion"];
                let metadata = json!({"name": name, "resourceVersion": version});
                (Method::PUT, object_path.as_str(), metadata)
            }
            Err(CallError::Status(404, _)) => (Method::POST, path, json!({"name": name})),
            Err(e) => return Err(e),
        };
    let object = json!({"metadata": metadata, "spec": spec});
    call_json(platform, method, request_path, &object)
        .await
        .map(drop)
}
