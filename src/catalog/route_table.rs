//! Finds the route for a request by its host and the longest matching prefix of its path.

use std::cmp::Ordering;
use std::sync::Arc;

use super::service_catalog::RouteRule;

/// The routes of a document, sorted by host and prefix.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTable {
    rules: Vec<Arc<RouteRule>>,
}

impl RouteTable {
    /// Builds a table of `rules`, which may be in any order.
    pub(crate) fn new(rules: Vec<RouteRule>) -> Self {
        let mut rules: Vec<Arc<RouteRule>> = rules.into_iter().map(Arc::new).collect();
        rules.sort_by(|left, right| compare(left, &right.host, &right.prefix));
        Self { rules }
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        // Every prefix ends with a slash, so that only prefixes of `path` up to a slash can match.
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(rule) = self.exact(host, &path[..=slash]) {
                return Some(rule);
            }
            end = slash;
        }
        None
    }

    /// All routes.
    pub(crate) fn rules(&self) -> &[Arc<RouteRule>] {
        &self.rules
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Arc<RouteRule>> {
        let found = self
            .rules
            .binary_search_by(|rule| compare(rule, host, prefix));
        found.ok().map(|at| &self.rules[at])
    }
}

fn compare(rule: &RouteRule, host: &str, prefix: &str) -> Ordering {
    let by_host = (*rule.host).cmp(host);
    by_host.then_with(|| (*rule.prefix).cmp(prefix))
}
