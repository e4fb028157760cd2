//! Typed names of teams, models, servers and the like, held as shared immutable strings.

use std::borrow;
use std::fmt;
use std::ops;
use std::sync;

use serde::{Deserialize, Serialize};

/// Defines name types, each a newtype over a shared immutable string.
macro_rules! define_name {
    ($(#[$doc:meta] $name:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(sync::Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(sync::Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ops::Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

define_name!(
    /// The name of a team that calls services.
    TeamName,
    /// The name of a model, or of a checkpoint regardless of its version.
    ModelName,
    /// The name of an adapter, which is loaded in addition to its base model.
    AdapterName,
    /// The name of a model version.
    VersionName,
    /// The name of a service that is offered to teams.
    ServiceName,
    /// The name of a route of a declared configuration.
    RouteName,
    /// The name of an instance of galenahold.
    InstanceName,
    /// The name of a backend server.
    ServerName,
    /// The name of a data centre.
    DataCentreName,
    /// The name of a region, which contains one or more data centres.
    RegionName,
    /// The name of an operator.
    OperatorName,
    /// The public part of a caller's key.
    KeyId,
    /// The identifier of one request of a caller or an operator.
    RequestId,
);
