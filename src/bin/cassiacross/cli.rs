//! The command line.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Changes records through any balancer and shows what is in force where.
    ///
    /// The operator token comes from CASSIACROSS_TOKEN, balancers from
    /// CASSIACROSS_BALANCERS (separated by commas) where --balancer is not
    /// given, or both from the JSON file of --settings or CASSIACROSS_SETTINGS
    /// with the fields `balancers`, a list, and `operator_token`.
    ///
    /// Exit codes: 0 done, 1 wrong use, 2 the record has faults, 3 conflict,
    /// nothing was written, 4 undecided, ask with `change`, 5 no balancer or
    /// the platform is not available, nothing was written, 6 a process lags,
    /// 7 there is no such record.
    cmd cassiacross {
        /// Prints JSON.
        optional --json
        /// HTTP address of a balancer; the next one is tried where one is down.
        repeated --balancer addr: SocketAddr
        /// File with balancers and the operator token.
        optional --settings path: PathBuf

        /// Checks a record, here or at a balancer that may know other schemas.
        cmd check {
            /// File with the record.
            required file: PathBuf
            /// The record's name, if the file has no `name`.
            optional --name name: String
            /// Checks at a balancer.
            optional --remote
        }

        /// Writes a record. Without a flag the version is read first.
        cmd apply {
            /// File with the record.
            required file: PathBuf
            /// The record's name, if the file has no `name`.
            optional --name name: String
            /// Writes only on top of this version; 0 where there must never have been one.
            optional --version version: u64
            /// Writes on top of any version.
            optional --force
            /// Id of an undecided change to repeat.
            optional --change id: String
        }

        /// Prints a record.
        cmd get {
            /// The record's name.
            required name: String
        }

        /// Lists the records as a balancer has them.
        cmd list {}

        /// Deletes a record. Without a flag the version is read first.
        cmd delete {
            /// The record's name.
            required name: String
            /// Deletes only this version.
            optional --version version: u64
            /// Deletes any version.
            optional --force
            /// Id of an undecided change to repeat.
            optional --change id: String
        }

        /// Shows the versions in force in each balancer and agent, and who lags.
        cmd status {}

        /// Prints the state of a balancer or agent.
        cmd dump {
            /// HTTP address of the process.
            required addr: SocketAddr
        }

        /// Sets an upstream's weight to 0.
        cmd drain {
            /// The upstream's name.
            required upstream: String
            /// Its record, if the balancer does not know.
            optional --record name: String
            /// Id of an undecided change to repeat.
            optional --change id: String
        }

        /// Gives an upstream the weight from before `drain`.
        cmd undrain {
            /// The upstream's name.
            required upstream: String
            /// Its record, if the balancer does not know.
            optional --record name: String
            /// Id of an undecided change to repeat.
            optional --change id: String
        }

        /// Asks whether a change has taken effect.
        cmd change {
            /// The change's id.
            required id: String
        }
    }
}
