//! Records the bytes of live responses on the link, so that transfers of weights wait for them.

use std::convert::Infallible;

use futures::StreamExt;
use http_body::Frame;
use http_body_util::BodyExt;
use motore::layer::Layer;
use motore::service::Service;
use volo_http::body::Body;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::route::{Route, Router};

use super::link_pacer::{LinkDirection, LinkPacer};

/// Adds a layer to `routes` that records every response byte as live traffic on `pacer`.
///
/// Requests have a few hundred bytes and are not counted; responses stream for minutes.
pub(crate) fn meter_live_responses(routes: Router, pacer: LinkPacer) -> Router {
    routes.layer(LiveMeterLayer(pacer))
}

#[derive(Clone)]
struct LiveMeterLayer(LinkPacer);

impl Layer<Route> for LiveMeterLayer {
    type Service = LiveMeterService;

    fn layer(self, inner: Route) -> LiveMeterService {
        LiveMeterService {
            inner,
            pacer: self.0,
        }
    }
}

struct LiveMeterService {
    inner: Route,
    pacer: LinkPacer,
}

impl Service<ServerContext, Request> for LiveMeterService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        let (head, body) = self.inner.call(context, request).await?.into_parts();
        let pacer = self.pacer.clone();
        let frames = body.into_data_stream().map(move |chunk| {
            chunk.map(|bytes| {
                let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                pacer.record_live(LinkDirection::Up, length);
                Frame::data(bytes)
            })
        });
        Ok(Response::from_parts(head, Body::from_stream(frames)))
    }
}
