//! Implementation of the subcommands.

use std::{fs, path::Path};

use anyhow::Context;
use cassiacross::{admin, admin_reply, change, record, record_table};
use reqwest::Method;
use serde_json::{Value, json};

use crate::{
    access,
    cli::{Apply, Cassiacross, CassiacrossCmd, Check, Delete},
    client::{self, Client, Precondition, Write},
    failure::Failure,
    version_lag,
};

struct App {
    client: Client,
    json: bool,
}

/// Runs the command given on the command line.
pub(crate) async fn run(flags: Cassiacross) -> Result<(), Failure> {
    if let CassiacrossCmd::Check(check) = &flags.subcommand
        && !check.remote
    {
        return check_locally(check, flags.json);
    }
    let app = App {
        client: Client::new(access::load(&flags)?)?,
        json: flags.json,
    };
    match flags.subcommand {
        CassiacrossCmd::Check(check) => app.check(&check).await,
        CassiacrossCmd::Apply(apply) => app.apply(&apply).await,
        CassiacrossCmd::Get(get) => app.get(&get.name).await,
        CassiacrossCmd::List(_) => app.list().await,
        CassiacrossCmd::Delete(delete) => app.delete(&delete).await,
        CassiacrossCmd::Status(_) => app.status().await,
        CassiacrossCmd::Dump(dump) => {
            let state = app.client.read_from(dump.addr, "/state").await?;
            print_json(&state);
            Ok(())
        }
        CassiacrossCmd::Drain(drain) => {
            app.change_weight(&drain.upstream, "drain", drain.record, drain.change)
                .await
        }
        CassiacrossCmd::Undrain(undrain) => {
            app.change_weight(&undrain.upstream, "undrain", undrain.record, undrain.change)
                .await
        }
        CassiacrossCmd::Change(change) => app.query_change(&change.id).await,
    }
}

impl App {
    async fn check(&self, check: &Check) -> Result<(), Failure> {
        let (name, document) = load_record(&check.file, check.name.as_deref())?;
        let path = format!("/check?name={name}");
        let response = self
            .client
            .read(Method::POST, &path, Some(&document))
            .await?;
        self.print_result(&response, &format!("{name} is valid"));
        Ok(())
    }

    async fn apply(&self, apply: &Apply) -> Result<(), Failure> {
        let (name, document) = load_record(&apply.file, apply.name.as_deref())?;
        let write = Write {
            method: Method::PUT,
            path: format!("/records/{name}"),
            id: &change_id(&name, apply.change.as_deref())?,
            precondition: self.precondition(&name, apply.force, apply.version).await?,
            body: Some(&document),
        };
        self.write(&name, &write).await
    }

    async fn delete(&self, delete: &Delete) -> Result<(), Failure> {
        let name = check_name(&delete.name)?;
        let write = Write {
            method: Method::DELETE,
            path: format!("/records/{name}"),
            id: &change_id(name, delete.change.as_deref())?,
            precondition: self
                .precondition(name, delete.force, delete.version)
                .await?,
            body: None,
        };
        self.write(name, &write).await
    }

    async fn change_weight(
        &self,
        upstream: &str,
        action: &str,
        record: Option<String>,
        id: Option<String>,
    ) -> Result<(), Failure> {
        let upstream = check_name(upstream)?;
        let record = record.or_else(|| {
            id.as_deref()
                .and_then(change::record_name)
                .map(str::to_owned)
        });
        let name = match record {
            Some(name) => name,
            None => self.find_record(upstream).await?,
        };
        let write = Write {
            method: Method::POST,
            path: format!("/upstreams/{upstream}/{action}"),
            id: &change_id(&name, id.as_deref())?,
            precondition: Precondition::Any,
            body: None,
        };
        self.write(&name, &write).await
    }

    async fn get(&self, name: &str) -> Result<(), Failure> {
        let found = self.read_record(check_name(name)?).await?;
        if found.source == admin_reply::Source::Memory {
            eprintln!(
                "cassiacross: platform store is not available; showing the copy of a balancer"
            );
        }
        if self.json {
            print_json(&json!(found));
        } else {
            print_json(&found.record);
        }
        Ok(())
    }

    async fn list(&self) -> Result<(), Failure> {
        let response = self.client.read(Method::GET, "/records", None).await?;
        if self.json {
            print_json(&response);
            return Ok(());
        }
        let records: Vec<record_table::RecordStatus> = client::parse_body(response)?;
        for record in records {
            let note = match (&record.fault, record.deleted) {
                (Some(error), _) => format!("  version {} is rejected: {error}", record.seen),
                (None, true) => "  deleted".to_owned(),
                (None, false) => String::new(),
            };
            println!("{:<24} {:>8}{note}", record.name, record.in_force);
        }
        Ok(())
    }

    async fn status(&self) -> Result<(), Failure> {
        let mut results = Vec::new();
        for addr in self.client.balancers() {
            let response = self.client.read_from(*addr, "/v1/status").await;
            let status = response.and_then(client::parse_body);
            let error = status.as_ref().err().map(|error| format!("{error:#}"));
            results.push(version_lag::StatusResult {
                addr: addr.to_string(),
                status: status.ok(),
                error,
            });
        }
        let records = version_lag::record_versions(&results);
        let agents = version_lag::agents(&results);
        let differing = version_lag::mismatched_peers(&results);
        if self.json {
            print_json(
                &json!({ "asked": results, "records": records, "agents": agents, "differing": differing }),
            );
        } else {
            print_status(&results, &records, &agents, &differing);
        }
        let unreachable = results
            .iter()
            .filter(|result| result.status.is_none())
            .count();
        let outdated = records
            .iter()
            .filter(|record| !record.lagging.is_empty())
            .count();
        match unreachable + outdated + differing.len() {
            0 => Ok(()),
            count => Err(Failure::OutOfDate(count)),
        }
    }

    async fn query_change(&self, id: &str) -> Result<(), Failure> {
        if change::record_name(id).is_none() {
            return Err(anyhow::anyhow!("invalid change id {id:?}; it must be RECORD~ID").into());
        }
        let path = format!("/changes/{id}");
        let response = self.client.read(Method::GET, &path, None).await;
        let undecided = || Failure::Undecided { id: id.to_owned() };
        let response = response.map_err(|failure| match failure {
            Failure::Unavailable(_) => undecided(),
            other => other,
        })?;
        let result: admin_reply::ChangeResult = client::parse_body(response.clone())?;
        let version = result.version.ok_or_else(undecided)?;
        self.print_result(
            &response,
            &format!("change took effect; the record is at version {version} or later"),
        );
        Ok(())
    }

    async fn write(&self, name: &str, write: &Write<'_>) -> Result<(), Failure> {
        let version = self.client.write(write).await?;
        let result = json!({ "name": name, "version": version, "change": write.id });
        self.print_result(
            &result,
            &format!("change took effect; record {name} is at version {version} or later"),
        );
        Ok(())
    }

    async fn precondition(
        &self,
        name: &str,
        force: bool,
        version: Option<u64>,
    ) -> Result<Precondition, Failure> {
        match (force, version) {
            (true, _) => Ok(Precondition::Any),
            (false, Some(version)) => Ok(Precondition::Version(version)),
            (false, None) => match self.read_record(name).await {
                Ok(found) => Ok(Precondition::Version(found.version)),
                Err(Failure::NotFound(body)) => {
                    Ok(Precondition::Version(body.version.unwrap_or(0)))
                }
                Err(failure) => Err(failure),
            },
        }
    }

    async fn read_record(&self, name: &str) -> Result<admin_reply::StoredRecord, Failure> {
        let path = format!("/records/{name}");
        let response = self.client.read(Method::GET, &path, None).await?;
        Ok(client::parse_body(response)?)
    }

    async fn find_record(&self, upstream: &str) -> Result<String, Failure> {
        let path = format!("/upstreams/{upstream}");
        let response = self.client.read(Method::GET, &path, None).await?;
        let found: admin_reply::UpstreamRecord = client::parse_body(response)?;
        Ok(found.record)
    }

    fn print_result(&self, result: &Value, text: &str) {
        if self.json {
            print_json(result);
        } else {
            println!("{text}");
        }
    }
}

fn check_locally(check: &Check, json: bool) -> Result<(), Failure> {
    let (name, document) = load_record(&check.file, check.name.as_deref())?;
    match record::parse(&name, &document) {
        Ok(_) if json => print_json(&json!(admin_reply::ValidRecord { name })),
        Ok(_) => println!("{name} is valid"),
        Err(record::Error::Invalid(errors)) => {
            let errors = errors.iter().map(ToString::to_string).collect();
            return Err(Failure::InvalidRecord(errors));
        }
        Err(error) => return Err(Failure::InvalidRecord(vec![error.to_string()])),
    }
    Ok(())
}

fn load_record(path: &Path, name: Option<&str>) -> anyhow::Result<(String, Value)> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let document: Value = serde_json::from_str(&text)
        .with_context(|| format!("{} is not valid JSON", path.display()))?;
    let name = name.or_else(|| document["name"].as_str());
    let name = name.context("record has no `name` field: use --name")?;
    Ok((check_name(name)?.to_owned(), document))
}

fn check_name(name: &str) -> anyhow::Result<&str> {
    anyhow::ensure!(record::is_valid_name(name), "invalid name {name:?}");
    Ok(name)
}

fn change_id(name: &str, given: Option<&str>) -> anyhow::Result<String> {
    let Some(id) = given else {
        return Ok(change::new_id(name, rand::random()));
    };
    anyhow::ensure!(
        change::record_name(id) == Some(name),
        "change {id:?} does not belong to record {name:?}"
    );
    Ok(id.to_owned())
}

fn print_json(value: &Value) {
    println!("{value:#}");
}

fn print_status(
    results: &[version_lag::StatusResult],
    records: &[version_lag::RecordVersions],
    agents: &[admin::Agent],
    differing: &[String],
) {
    for result in results {
        match (&result.status, &result.error) {
            (Some(status), _) => println!(
                "{:<24} {:<16} {} records, digest {:016x}",
                status.name,
                status.domain,
                status.records.len(),
                status.digest
            ),
            (None, error) => println!("{:<24} {}", result.addr, error.as_deref().unwrap_or("-")),
        }
    }
    for agent in agents {
        println!(
            "{:<24} {:<16} version {}",
            agent.name, agent.service, agent.version
        );
    }
    println!("{:<24} {:>8} {:>8}  lagging", "record", "newest", "lowest");
    for record in records {
        let lagging = record.lagging.join(", ");
        println!(
            "{:<24} {:>8} {:>8}  {lagging}",
            record.name, record.newest, record.lowest
        );
        if let Some(error) = &record.fault {
            println!("    rejected: {error}");
        }
    }
    if !differing.is_empty() {
        println!(
            "balancers with a different record digest: {}",
            differing.join(", ")
        );
    }
}
