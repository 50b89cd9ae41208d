//! The two companies of the samples: their data centres, services and client accounts.

use macro_rules_attribute::apply;

use crate::derives::{key, plain};
use crate::documents::{
    AccountSpec, DeadlineSpec, HostSelection, OutageRule, RolloutSpec, RouteSpec, ServiceDocument,
    ServiceKind, SpreadObjective, TableAwayRule, WeightsSpec,
};
use crate::weights::WeightsDigest;

/// A company.
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

/// A company's names.
#[apply(plain!)]
#[derive(Copy)]
pub(crate) struct CompanyNames {
    /// Its data centres.
    pub(crate) data_centres: [DataCentre; 3],
    /// Its model service.
    pub(crate) model: &'static str,
    /// Its service with calls that may run at most once.
    pub(crate) at_most_once_service: &'static str,
    /// Its service with a single worker.
    pub(crate) single_worker_service: &'static str,
    /// The path of the desk's unrepeatable calls.
    pub(crate) at_most_once_path: &'static str,
    /// Its client accounts; the first is the largest.
    pub(crate) accounts: [&'static str; 10],
    /// What it wants the spread of weights to save.
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

/// The key with which the lab creates and changes documents.
pub(crate) const OPERATOR_KEY: &str = "lab-operator-key";

const ACCOUNT_RATE: u32 = 5_000;
const ACCOUNT_CONCURRENCY: u32 = 2_000;
const OUT_OF_SERVICE: u32 = 2;
/// Short, so that a caller who waits half a minute has seen the end of every call.
const DEADLINES: DeadlineSpec = DeadlineSpec {
    urgent_ms: 4_000,
    normal_ms: 10_000,
    batch_ms: 15_000,
    stream_ms: 20_000,
};

impl SampleCompany {
    /// The company called `name` on the command line.
    pub(crate) fn from_flag(name: &str) -> Self {
        match name {
            "skupno" => Self::Skupno,
            _ => Self::Auroras,
        }
    }

    /// Its names.
    pub(crate) const fn names(self) -> CompanyNames {
        match self {
            Self::Auroras => AURORAS,
            Self::Skupno => SKUPNO,
        }
    }
}

/// The key of client account `name`.
pub(crate) fn account_key(name: &str) -> String {
    format!("lab-key-of-{name}")
}

impl CompanyNames {
    /// The document of the model service with weights `version`, published as `source`.
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

    /// The document of the desk: calls below [`CompanyNames::at_most_once_path`] run at most once, the
    /// rest may be repeated.
    pub(crate) fn at_most_once_document(&self) -> ServiceDocument {
        let once = RouteSpec {
            method: Some("POST".into()),
            path_prefix: self.at_most_once_path.into(),
            repeatable: false,
            in_outage: OutageRule::default(),
        };
        ServiceDocument {
            routes: vec![once, repeatable_route()],
            ..self.document(self.at_most_once_service, ServiceKind::Plain)
        }
    }

    /// The document of the portal, whose calls may all be repeated.
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
                max_out_of_service: OUT_OF_SERVICE,
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
