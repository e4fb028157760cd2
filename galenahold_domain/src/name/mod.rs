//! Names of things that operators and backend servers refer to, as shared immutable strings.

use std::borrow;
use std::fmt;
use std::ops;
use std::sync;

use serde::{Deserialize, Serialize};

/// Defines a name as a newtype over a shared immutable string.
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
    /// Names a team that calls the services.
    TeamName,
    /// Names a model or a version-independent checkpoint.
    ModelName,
    /// Names an adapter that is loaded beside its base model.
    AdapterName,
    /// Names a version of a model.
    VersionName,
    /// Names a service that the intent offers to teams.
    ServiceName,
    /// Names a route of a declared configuration.
    RouteName,
    /// Names an instance of galenahold.
    InstanceName,
    /// Names a backend server.
    ServerName,
    /// Names a data centre.
    DataCentreName,
    /// Names a region, which holds one or more data centres.
    RegionName,
    /// Names an operator.
    OperatorName,
    /// Names the public part of a caller's key.
    KeyId,
    /// Names one request of a caller or an operator.
    RequestId,
);
