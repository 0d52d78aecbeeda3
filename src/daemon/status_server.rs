//! Serves the HTTP port for health, metrics and status.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::net::TcpListener;

/// A rendered page of the status port.
pub(crate) struct Page {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The content type.
    pub(crate) content_type: &'static str,
    /// The body of the page.
    pub(crate) text: String,
}

impl Page {
    pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            text: text.into(),
        }
    }

    pub(crate) fn json(status: StatusCode, text: String) -> Self {
        Self {
            status,
            content_type: "application/json",
            text,
        }
    }

    fn not_found() -> Self {
        Self::text(
            StatusCode::NOT_FOUND,
            "try /livez, /readyz, /metrics, /status, /explain/ID\n",
        )
    }
}

/// Renders the pages of a status port.
pub(crate) trait PageSource: Send + Sync + 'static {
    /// The page at a path; none if there is no such page.
    fn page(&self, path: &str) -> Option<Page>;
}

/// The time limit for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the pages for as long as the process runs.
pub(crate) async fn serve(pages: Arc<dyn PageSource>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let pages = Arc::clone(&pages);
        let service = service_fn(move |req| answer(Arc::clone(&pages), req));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(err) = conn.await {
                debug!("status: a connection ended early: {err}");
            }
        });
    }
}

async fn answer(
    pages: Arc<dyn PageSource>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let page = pages.page(req.uri().path()).unwrap_or_else(Page::not_found);
    let mut res = Response::new(Full::new(Bytes::from(page.text)));
    *res.status_mut() = page.status;
    let content_type = hyper::header::HeaderValue::from_static(page.content_type);
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(res)
}
