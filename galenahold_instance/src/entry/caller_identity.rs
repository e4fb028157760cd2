//! Authentication of callers.

use std::time;

use galenahold_domain::key;
use galenahold_domain::name;
use http::HeaderMap;

use crate::api;
use crate::configuration;
use crate::entry;
use crate::operator;
use crate::timer;

/// How long a request with an unknown key waits for the latest configuration.
const NEW_KEY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The identity of a caller: a team, identified by its key, or an anonymous caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerIdentity {
    key: Option<key::CallerKey>,
    team: Option<name::TeamName>,
    redactor: entry::KeyRedactor,
}

impl CallerIdentity {
    /// Reads the key from a request's headers and looks up its team; an unknown key is looked up again in
    /// a configuration that a quorum confirmed after the request arrived.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `NotRun` if the key is unknown or withdrawn, or if this instance
    /// cannot tell because its configuration is stale.
    pub(crate) async fn read(
        headers: &HeaderMap,
        cache: &configuration::ConfigurationCache,
    ) -> Result<Self, api::RequestRefusal> {
        let presented = operator::bearer_text(headers);
        let redactor = entry::KeyRedactor::new(presented);
        let Some(presented) = presented else {
            return Ok(Self {
                key: None,
                team: None,
                redactor,
            });
        };
        if !cache.is_fresh() {
            return Err(refuse_stale_configuration());
        }
        let key = key::CallerKey::parse(presented).map_err(|_| refuse_unknown_key())?;
        if cache.index().admitted_team(&key).is_none() {
            // The key may be newer than the configuration of this instance.
            let confirmed = cache.wait_until_confirmed(timer::BootInstant::now());
            let waited = tokio::time::timeout(NEW_KEY_TIMEOUT, confirmed).await;
            waited.map_err(|_| refuse_stale_configuration())?;
        }
        let index = cache.index();
        let team = index.admitted_team(&key).ok_or_else(refuse_unknown_key)?;
        Ok(Self {
            team: Some(team.name.clone()),
            key: Some(key),
            redactor,
        })
    }

    /// Returns the caller's team; `None` for a caller without a key.
    pub(crate) fn team(&self) -> Option<&name::TeamName> {
        self.team.as_ref()
    }

    /// Returns the caller's team, or the empty name for a caller without a key.
    pub(crate) fn team_or_empty(&self) -> name::TeamName {
        self.team
            .clone()
            .unwrap_or_else(|| name::TeamName::from(""))
    }

    /// Returns the caller's key; `None` for a caller without one.
    pub(crate) fn key(&self) -> Option<&key::CallerKey> {
        self.key.as_ref()
    }

    /// Returns the redactor that detects keys in data for backend servers.
    pub(crate) fn redactor(&self) -> &entry::KeyRedactor {
        &self.redactor
    }
}

fn refuse_unknown_key() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::Unauthorized,
        "the key is unknown or was withdrawn",
    )
}

fn refuse_stale_configuration() -> api::RequestRefusal {
    api::RequestRefusal::not_run(
        api::RefusalKind::StaleConfiguration,
        "this instance cannot confirm its keys now; try another one",
    )
}
