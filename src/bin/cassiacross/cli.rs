//! Command-line flags and subcommands.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Writes service records through any balancer and shows which versions are active.
    ///
    /// The operator token is read from CASSIACROSS_TOKEN and the balancer addresses
    /// from --balancer or CASSIACROSS_BALANCERS (separated by commas). Both can also be
    /// read from a JSON file, given by --settings or CASSIACROSS_SETTINGS, with the
    /// fields `balancers` (a list) and `operator_token`.
    ///
    /// Exit codes: 0 success; 1 usage or other error; 2 invalid record; 3 conflict,
    /// nothing was written; 4 outcome unknown, query it with `change`; 5 no balancer or
    /// the platform store is not available, nothing was written; 6 a process is
    /// unreachable or out of date; 7 the record does not exist.
    cmd cassiacross {
        /// Prints the result as JSON.
        optional --json
        /// HTTP address of a balancer; several are tried in turn until one responds.
        repeated --balancer addr: SocketAddr
        /// JSON file with the balancer addresses and the operator token.
        optional --settings path: PathBuf

        /// Validates a record locally, or at a balancer, which may support other schemas.
        cmd check {
            /// JSON file with the record.
            required file: PathBuf
            /// Record name, required if the file has no `name`.
            optional --name name: String
            /// Validates the record at a balancer instead of locally.
            optional --remote
        }

        /// Writes a record. Without --version or --force, the current version is read first
        /// and required.
        cmd apply {
            /// JSON file with the record.
            required file: PathBuf
            /// Record name, required if the file has no `name`.
            optional --name name: String
            /// Writes only if the record is at this version; 0 if it must never have existed.
            optional --version version: u64
            /// Writes regardless of the current version.
            optional --force
            /// Change id of an earlier run whose outcome is unknown; by default a new id.
            optional --change id: String
        }

        /// Prints a record.
        cmd get {
            /// Record name.
            required name: String
        }

        /// Lists the records of a balancer and their active versions.
        cmd list {}

        /// Deletes a record. Without --version or --force, the current version is read
        /// first and required.
        cmd delete {
            /// Record name.
            required name: String
            /// Deletes only if the record is at this version.
            optional --version version: u64
            /// Deletes regardless of the current version.
            optional --force
            /// Change id of an earlier run whose outcome is unknown; by default a new id.
            optional --change id: String
        }

        /// Shows the active record versions and the balancers and agents that are out of date.
        cmd status {}

        /// Prints the internal state of a balancer or agent.
        cmd dump {
            /// HTTP address of the process.
            required addr: SocketAddr
        }

        /// Drains an upstream by setting its weight to 0.
        cmd drain {
            /// Upstream name.
            required upstream: String
            /// Record that the upstream belongs to, required if the balancer cannot find it.
            optional --record name: String
            /// Change id of an earlier run whose outcome is unknown; by default a new id.
            optional --change id: String
        }

        /// Restores the weight that an upstream had before `drain`.
        cmd undrain {
            /// Upstream name.
            required upstream: String
            /// Record that the upstream belongs to, required if the balancer cannot find it.
            optional --record name: String
            /// Change id of an earlier run whose outcome is unknown; by default a new id.
            optional --change id: String
        }

        /// Queries whether a change took effect.
        cmd change {
            /// Change id.
            required id: String
        }
    }
}
