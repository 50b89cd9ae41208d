//! The two sample companies: their data centres, services and client accounts.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::documents::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RolloutSpec, RouteSpec, ServiceDocument,
    ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
use crate::weights::WeightsDigest;

/// A sample company.
#[apply(key!)]
pub(crate) enum SampleCompany {
    /// Auroras del Sur Franquicias S.A.C.
    Auroras,
    /// Skupno Gostovanje d.o.o.
    Skupno,
}

/// A data centre and its region.
#[apply(key!)]
pub(crate) struct DataCentre {
    /// Its name.
    pub(crate) name: &'static str,
    /// Its region.
    pub(crate) region: &'static str,
}

/// A company's names, and its objective for the distribution of weights.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct CompanyNames {
    /// Its data centres.
    pub(crate) data_centres: [DataCentre; 3],
    /// Its model service.
    pub(crate) model: &'static str,
    /// Its plain service that has calls that may run at most once.
    pub(crate) at_most_once_service: &'static str,
    /// Its plain service that has a single worker.
    pub(crate) single_worker_service: &'static str,
    /// Path prefix of the calls that may run at most once.
    pub(crate) at_most_once_path: &'static str,
    /// Its client accounts; the first is the largest.
    pub(crate) accounts: [&'static str; 10],
    /// What the distribution of weights minimises.
    pub(crate) objective: SpreadObjective,
}

const AURORAS: CompanyNames = CompanyNames {
    data_centres: [
        DataCentre {
            name: "cusco-hall-a",
            region: "sierra",
        },
        DataCentre {
            name: "arequipa-hall-a",
            region: "sierra",
        },
        DataCentre {
            name: "lima-hall-a",
            region: "costa",
        },
    ],
    model: "sky-writer",
    at_most_once_service: "alert-desk",
    single_worker_service: "franchise-portal",
    at_most_once_path: "/wake-ups",
    accounts: [
        "head-office",
        "cusco-tours",
        "puno-tours",
        "lodge-desks",
        "night-guides",
        "arequipa-tours",
        "tacna-tours",
        "ica-tours",
        "push-notices",
        "partner-feed",
    ],
    objective: SpreadObjective::Time,
};

const SKUPNO: CompanyNames = CompanyNames {
    data_centres: [
        DataCentre {
            name: "lj-dvorana-a",
            region: "celina",
        },
        DataCentre {
            name: "mb-dvorana-1",
            region: "celina",
        },
        DataCentre {
            name: "kp-luka",
            region: "obala",
        },
    ],
    model: "pisar",
    at_most_once_service: "nadzor",
    single_worker_service: "gostitelj",
    at_most_once_path: "/mail-replies",
    accounts: [
        "house-one",
        "house-two",
        "house-three",
        "bakeries",
        "dentists",
        "tourist-farms",
        "panel-checks",
        "mail-desk",
        "site-drafts",
        "support-desk",
    ],
    objective: SpreadObjective::OriginBytes,
};

/// The operator key that the lab uses to write documents.
pub(crate) const OPERATOR_KEY: &str = "lab-operator-key";

/// Requests per second of each client account.
const ACCOUNT_RATE: u32 = 5_000;
const ACCOUNT_CONCURRENCY: u32 = 2_000;
const OUT_OF_SERVICE_MAX: u32 = 2;
/// Short, so that every call has ended when a caller has waited for 30 s.
const DEADLINES: DeadlineSpec = DeadlineSpec {
    urgent_ms: 4_000,
    normal_ms: 10_000,
    batch_ms: 15_000,
    stream_ms: 20_000,
};

impl SampleCompany {
    /// Returns the company called `name` on the command line; unknown names give the first one.
    pub(crate) fn from_flag(name: &str) -> Self {
        match name {
            "skupno" => Self::Skupno,
            _ => Self::Auroras,
        }
    }

    /// Returns its names.
    pub(crate) const fn names(self) -> CompanyNames {
        match self {
            Self::Auroras => AURORAS,
            Self::Skupno => SKUPNO,
        }
    }
}

/// Returns the key of client account `name`.
pub(crate) fn account_key(name: &str) -> String {
    format!("lab-key-of-{name}")
}

impl CompanyNames {
    /// Returns the document of the model service whose target weights are `version`, which the
    /// origin publishes as `source`.
    pub(crate) fn model_document(
        &self,
        version: &str,
        source: &str,
        digest: &WeightsDigest,
    ) -> ServiceDocument {
        let weights = WeightsSpec {
            version: version.into(),
            source: source.into(),
            digest: digest.to_string().into(),
            objective: self.objective,
        };
        ServiceDocument {
            weights: Some(weights),
            prefix_affinity: true,
            ..self.document(self.model, ServiceKind::Model)
        }
    }

    /// Returns the document of the service whose calls below
    /// [`CompanyNames::at_most_once_path`] run at most once; its other calls may be repeated.
    pub(crate) fn at_most_once_document(&self) -> ServiceDocument {
        let at_most_once = RouteSpec {
            method: Some("POST".into()),
            path_prefix: self.at_most_once_path.into(),
            repeatable: false,
            in_outage: OutageRule::default(),
        };
        ServiceDocument {
            routes: vec![at_most_once, repeatable_route()],
            ..self.document(self.at_most_once_service, ServiceKind::Plain)
        }
    }

    /// Returns the document of the single-worker service, all of whose calls may be repeated.
    pub(crate) fn single_worker_document(&self) -> ServiceDocument {
        ServiceDocument {
            routes: vec![repeatable_route()],
            ..self.document(self.single_worker_service, ServiceKind::Plain)
        }
    }

    fn document(&self, service: &'static str, kind: ServiceKind) -> ServiceDocument {
        let operator_digest = WeightsDigest::of(OPERATOR_KEY.as_bytes());
        let data_centres = self.data_centres.iter().map(|centre| centre.name.into());
        ServiceDocument {
            format: 1,
            service: service.into(),
            team: "lab".into(),
            change_key_digests: vec![operator_digest.to_string().into()],
            kind,
            data_centres: data_centres.collect(),
            hosts: HostSelection::Listed,
            weights: None,
            rollout: RolloutSpec {
                max_out_of_service: OUT_OF_SERVICE_MAX,
                table_away: TableAwayRule::IdleHostsOnly,
                ..RolloutSpec::default()
            },
            accounts: self.accounts.iter().map(|name| account(name)).collect(),
            deadlines: DEADLINES,
            routes: Vec::new(),
            retry: crate::documents::RetrySpec::default(),
            prefix_affinity: false,
        }
    }
}

fn repeatable_route() -> RouteSpec {
    RouteSpec {
        method: None,
        path_prefix: "/".into(),
        repeatable: true,
        in_outage: OutageRule::default(),
    }
}

fn account(name: &str) -> AccountSpec {
    let key_digest = WeightsDigest::of(account_key(name).as_bytes());
    AccountSpec {
        name: name.into(),
        key_digest: key_digest.to_string().into(),
        requests_per_second: ACCOUNT_RATE,
        concurrency: ACCOUNT_CONCURRENCY,
        weight: 1,
        urgent_percent: 100,
    }
}
