//! Parsing and validation of a settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use crate::settings::DrainSettings;
use crate::settings::ListenSettings;
use crate::settings::LogSettings;
use crate::settings::PeerKey;
use crate::settings::PeerSeed;
use crate::settings::PeerSettings;
use crate::settings::PlatformSettings;
use crate::settings::Settings;
use crate::settings::SettingsErrors;
use crate::settings::conflicts::check_addresses;
use crate::settings::conflicts::check_keys;
use crate::settings::conflicts::check_own_seed;
use crate::settings::conflicts::check_seeds;
use crate::settings::spec;
use crate::units::ByteSize;
use crate::yaml;
use crate::yaml::Fields;
use crate::yaml::FileErrors;
use crate::yaml::Item;
use crate::yaml::Section;

/// The minimum length of a secret in characters. Shorter secrets can be found by brute force.
const SECRET_CHARS_MIN: usize = 16;
/// The minimum of `control_bytes_per_second`: one membership message must fit into the budget of
/// one second.
const CONTROL_BYTES_PER_SECOND_MIN: u64 = 1_024;
/// The minimum of `body_memory_size`: the memory must hold at least one body of the smallest useful
/// size limit.
const BODY_MEMORY_SIZE_MIN: ByteSize = ByteSize(1 << 20);
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Parses and validates settings. `file` is the file name that problems are reported with.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsErrors> {
        Ok(yaml::parse(text, file)?)
    }

    /// Reads, parses and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsErrors> {
        let file = path.display().to_string();
        let text =
            fs::read_to_string(path).map_err(|error| FileErrors::unreadable(&file, &error))?;
        Self::parse(&text, &file)
    }
}

impl Section for Settings {
    /// A value that fails a check is reported in `fields`, but the section is still returned.
    /// `None` only if a required value is missing or a value cannot be parsed.
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let host = fields.required("host");
        let deployment = fields.required("deployment");
        let failure_domain = fields.required("failure_domain");
        let listen = fields.section("listen");
        let platform = fields.section("platform");
        let peers = fields.section("peers");
        let policy = fields.optional("policy", Default::default());
        let drain = fields.optional_section("drain");
        let logs = fields.optional_section("logs");
        let threads = fields.optional("threads", 0);
        let body_memory_size =
            fields.optional("body_memory_size", spec::default_body_memory_size());

        fields.check(
            "deployment",
            deployment.as_ref(),
            |name: &String| !name.is_empty(),
            "is empty",
        );
        let is_enough = |size: &ByteSize| *size >= BODY_MEMORY_SIZE_MIN;
        let what = format!("must be at least {BODY_MEMORY_SIZE_MIN}");
        fields.check(
            "body_memory_size",
            body_memory_size.as_ref(),
            is_enough,
            &what,
        );
        check_addresses(fields, listen.as_ref(), platform.as_ref());
        check_own_seed(fields, host.as_ref(), listen.as_ref(), peers.as_ref());
        Some(Self {
            host: host?,
            deployment: deployment?,
            failure_domain: failure_domain?,
            listen: listen?,
            platform: platform?,
            peers: peers?,
            policy: policy?,
            drain: drain?,
            logs: logs?,
            threads: threads?,
            body_memory_size: body_memory_size?,
        })
    }
}

impl Section for ListenSettings {
    /// A value that fails a check is reported in `fields`, but the section is still returned.
    /// `None` only if a required value is missing or a value cannot be parsed.
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let callers = fields.required("callers");
        let peers = fields.required("peers");
        let status = fields.required("status");
        // This address is sent to other hosts. With an unspecified address they would connect to
        // themselves.
        let is_specified = |address: &SocketAddr| !address.ip().is_unspecified();
        let what = "must be an address that other hosts can reach";
        fields.check("peers", peers.as_ref(), is_specified, what);
        Some(Self {
            callers: callers?,
            peers: peers?,
            status: status?,
        })
    }
}

impl Section for PlatformSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let address = fields.required("address");
        let timeout_ms = fields.optional("timeout_ms", spec::default_platform_timeout_ms());
        fields.check(
            "address",
            address.as_ref(),
            is_destination,
            NOT_A_DESTINATION,
        );
        fields.check(
            "timeout_ms",
            timeout_ms.as_ref(),
            |ms| *ms > 0,
            "must be above 0",
        );
        Some(Self {
            address: address?,
            timeout_ms: timeout_ms?,
        })
    }
}

impl Section for PeerSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let seeds = fields.optional_list::<PeerSeed>("seeds");
        let keys = fields.list::<PeerKey>("keys");
        let control_bytes_per_second = fields.optional(
            "control_bytes_per_second",
            spec::default_control_bytes_per_second(),
        );
        check_seeds(fields, &seeds);
        check_keys(fields, &keys);
        let is_enough = |bytes: &u64| *bytes >= CONTROL_BYTES_PER_SECOND_MIN;
        let what = format!("must be at least {CONTROL_BYTES_PER_SECOND_MIN}");
        fields.check(
            "control_bytes_per_second",
            control_bytes_per_second.as_ref(),
            is_enough,
            &what,
        );
        Some(Self {
            seeds: values(seeds),
            keys: values(keys),
            control_bytes_per_second: control_bytes_per_second?,
        })
    }
}

impl Section for PeerSeed {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let host = fields.required("host");
        let failure_domain = fields.required("failure_domain");
        let address = fields.required("address");
        fields.check(
            "address",
            address.as_ref(),
            is_destination,
            NOT_A_DESTINATION,
        );
        Some(Self {
            host: host?,
            failure_domain: failure_domain?,
            address: address?,
        })
    }
}

impl Section for PeerKey {
    /// A value that fails a check is reported in `fields`, but the section is still returned.
    /// `None` only if a required value is missing or a value cannot be parsed.
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let id = fields.required("id");
        let secret = fields.required("secret");
        fields.check("id", id.as_ref(), |id: &String| !id.is_empty(), "is empty");
        let is_long_enough = |secret: &String| secret.chars().count() >= SECRET_CHARS_MIN;
        let what = format!("must have at least {SECRET_CHARS_MIN} characters");
        fields.check("secret", secret.as_ref(), is_long_enough, &what);
        Some(Self {
            id: id?,
            secret: secret?,
        })
    }
}

impl Section for DrainSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let notice_ms = fields.optional("notice_ms", Self::default().notice_ms)?;
        Some(Self { notice_ms })
    }
}

impl Section for LogSettings {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let defaults = Self::default();
        let format = fields.optional("format", defaults.format);
        let level = fields.optional("level", defaults.level);
        let is_level = |level: &String| LOG_LEVELS.contains(&level.as_str());
        let what = format!("must be one of {}", LOG_LEVELS.join(", "));
        fields.check("level", level.as_ref(), is_level, &what);
        Some(Self {
            format: format?,
            level: level?,
        })
    }
}

/// The problem of an address for which [`is_destination`] is false.
const NOT_A_DESTINATION: &str = "must be an address and port to connect to";

/// Whether a host can connect to the address: its IP address is specified and its port is not 0.
fn is_destination(address: &SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

fn values<T>(items: Vec<Item<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
