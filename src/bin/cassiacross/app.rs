//! Carries out one command.

use std::{fs, path::Path};

use anyhow::Context;
use cassiacross::{admin, admin_reply, change, record, record_table};
use reqwest::Method;
use serde_json::{Value, json};

use crate::{
    access,
    calls::{self, Calls, Expect, Write},
    cli::{Apply, Cassiacross, CassiacrossCmd, Check, Delete},
    failure::Failure,
    lag,
};

struct App {
    calls: Calls,
    json: bool,
}

/// Runs the command of the command line.
pub(crate) async fn run(flags: Cassiacross) -> Result<(), Failure> {
    if let CassiacrossCmd::Check(check) = &flags.subcommand
        && !check.remote
    {
        return check_here(check, flags.json);
    }
    let app = App {
        calls: Calls::new(access::read(&flags)?)?,
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
            let state = app.calls.read_from(dump.addr, "/state").await?;
            print(&state);
            Ok(())
        }
        CassiacrossCmd::Drain(drain) => {
            app.weigh(&drain.upstream, "drain", drain.record, drain.change)
                .await
        }
        CassiacrossCmd::Undrain(undrain) => {
            app.weigh(&undrain.upstream, "undrain", undrain.record, undrain.change)
                .await
        }
        CassiacrossCmd::Change(change) => app.ask(&change.id).await,
    }
}

impl App {
    async fn check(&self, check: &Check) -> Result<(), Failure> {
        let (name, document) = load(&check.file, check.name.as_deref())?;
        let path = format!("/check?name={name}");
        let answer = self
            .calls
            .read(Method::POST, &path, Some(&document))
            .await?;
        self.tell(&answer, &format!("{name} has no faults"));
        Ok(())
    }

    async fn apply(&self, apply: &Apply) -> Result<(), Failure> {
        let (name, document) = load(&apply.file, apply.name.as_deref())?;
        let write = Write {
            method: Method::PUT,
            path: format!("/records/{name}"),
            id: &change_id(&name, apply.change.as_deref())?,
            expect: self.expect(&name, apply.force, apply.version).await?,
            body: Some(&document),
        };
        self.write(&name, &write).await
    }

    async fn delete(&self, delete: &Delete) -> Result<(), Failure> {
        let name = named(&delete.name)?;
        let write = Write {
            method: Method::DELETE,
            path: format!("/records/{name}"),
            id: &change_id(name, delete.change.as_deref())?,
            expect: self.expect(name, delete.force, delete.version).await?,
            body: None,
        };
        self.write(name, &write).await
    }

    async fn weigh(
        &self,
        upstream: &str,
        action: &str,
        record: Option<String>,
        id: Option<String>,
    ) -> Result<(), Failure> {
        let upstream = named(upstream)?;
        let known = record.or_else(|| {
            id.as_deref()
                .and_then(change::record_name)
                .map(str::to_owned)
        });
        let name = match known {
            Some(name) => name,
            None => self.record_of(upstream).await?,
        };
        let write = Write {
            method: Method::POST,
            path: format!("/upstreams/{upstream}/{action}"),
            id: &change_id(&name, id.as_deref())?,
            expect: Expect::Any,
            body: None,
        };
        self.write(&name, &write).await
    }

    async fn get(&self, name: &str) -> Result<(), Failure> {
        let found = self.read_record(named(name)?).await?;
        if found.source == admin_reply::Source::Memory {
            eprintln!("cassiacross: the platform is not available, this is what a balancer knows");
        }
        if self.json {
            print(&json!(found));
        } else {
            print(&found.record);
        }
        Ok(())
    }

    async fn list(&self) -> Result<(), Failure> {
        let answer = self.calls.read(Method::GET, "/records", None).await?;
        if self.json {
            print(&answer);
            return Ok(());
        }
        let standings: Vec<record_table::RecordStatus> = calls::typed(answer)?;
        for standing in standings {
            let note = match (&standing.fault, standing.deleted) {
                (Some(fault), _) => format!("  version {} is held: {fault}", standing.seen),
                (None, true) => "  deleted".to_owned(),
                (None, false) => String::new(),
            };
            println!("{:<24} {:>8}{note}", standing.name, standing.in_force);
        }
        Ok(())
    }

    async fn status(&self) -> Result<(), Failure> {
        let mut asked = Vec::new();
        for addr in self.calls.balancers() {
            let answer = self.calls.read_from(*addr, "/v1/status").await;
            let status = answer.and_then(calls::typed);
            let error = status.as_ref().err().map(|error| format!("{error:#}"));
            asked.push(lag::Asked {
                addr: addr.to_string(),
                status: status.ok(),
                error,
            });
        }
        let rows = lag::rows(&asked);
        let agents = lag::agents(&asked);
        let differing = lag::differing(&asked);
        if self.json {
            print(
                &json!({ "asked": asked, "records": rows, "agents": agents, "differing": differing }),
            );
        } else {
            print_status(&asked, &rows, &agents, &differing);
        }
        let silent = asked.iter().filter(|asked| asked.status.is_none()).count();
        let late = rows.iter().filter(|row| !row.lagging.is_empty()).count();
        match silent + late + differing.len() {
            0 => Ok(()),
            count => Err(Failure::Lag(count)),
        }
    }

    async fn ask(&self, id: &str) -> Result<(), Failure> {
        if change::record_name(id).is_none() {
            return Err(anyhow::anyhow!("{id:?} is no change id: RECORD~ID").into());
        }
        let path = format!("/changes/{id}");
        let answer = self.calls.read(Method::GET, &path, None).await;
        let undecided = || Failure::Undecided { id: id.to_owned() };
        let answer = answer.map_err(|failure| match failure {
            Failure::Unavailable(_) => undecided(),
            other => other,
        })?;
        let changed: admin_reply::ChangeResult = calls::typed(answer.clone())?;
        let version = changed.version.ok_or_else(undecided)?;
        self.tell(
            &answer,
            &format!("accepted, the record is at version {version} or later"),
        );
        Ok(())
    }

    async fn write(&self, name: &str, write: &Write<'_>) -> Result<(), Failure> {
        let version = self.calls.write(write).await?;
        let answer = json!({ "name": name, "version": version, "change": write.id });
        self.tell(&answer, &format!("{name} is accepted as version {version}"));
        Ok(())
    }

    async fn expect(
        &self,
        name: &str,
        force: bool,
        version: Option<u64>,
    ) -> Result<Expect, Failure> {
        match (force, version) {
            (true, _) => Ok(Expect::Any),
            (false, Some(version)) => Ok(Expect::Version(version)),
            (false, None) => match self.read_record(name).await {
                Ok(found) => Ok(Expect::Version(found.version)),
                Err(Failure::Missing(refusal)) => Ok(Expect::Version(refusal.version.unwrap_or(0))),
                Err(failure) => Err(failure),
            },
        }
    }

    async fn read_record(&self, name: &str) -> Result<admin_reply::StoredRecord, Failure> {
        let path = format!("/records/{name}");
        let answer = self.calls.read(Method::GET, &path, None).await?;
        Ok(calls::typed(answer)?)
    }

    async fn record_of(&self, upstream: &str) -> Result<String, Failure> {
        let path = format!("/upstreams/{upstream}");
        let answer = self.calls.read(Method::GET, &path, None).await?;
        let belongs: admin_reply::UpstreamRecord = calls::typed(answer)?;
        Ok(belongs.record)
    }

    fn tell(&self, answer: &Value, text: &str) {
        if self.json {
            print(answer);
        } else {
            println!("{text}");
        }
    }
}

fn check_here(check: &Check, json: bool) -> Result<(), Failure> {
    let (name, document) = load(&check.file, check.name.as_deref())?;
    match record::parse(&name, &document) {
        Ok(_) if json => print(&json!(admin_reply::ValidRecord { name })),
        Ok(_) => println!("{name} has no faults"),
        Err(record::Error::Invalid(faults)) => {
            let faults = faults.iter().map(ToString::to_string).collect();
            return Err(Failure::Faults(faults));
        }
        Err(error) => return Err(Failure::Faults(vec![error.to_string()])),
    }
    Ok(())
}

fn load(path: &Path, name: Option<&str>) -> anyhow::Result<(String, Value)> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let document: Value =
        serde_json::from_str(&text).with_context(|| format!("{} is not JSON", path.display()))?;
    let name = name.or_else(|| document["name"].as_str());
    let name = name.context("the record has no `name`: use --name")?;
    Ok((named(name)?.to_owned(), document))
}

fn named(name: &str) -> anyhow::Result<&str> {
    anyhow::ensure!(record::is_valid_name(name), "{name:?} is not a name");
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

fn print(value: &Value) {
    println!("{value:#}");
}

fn print_status(
    asked: &[lag::Asked],
    rows: &[lag::Row],
    agents: &[admin::Agent],
    differing: &[String],
) {
    for asked in asked {
        match (&asked.status, &asked.error) {
            (Some(status), _) => println!(
                "{:<24} {:<16} {} records, digest {:016x}",
                status.name,
                status.domain,
                status.records.len(),
                status.digest
            ),
            (None, error) => println!("{:<24} {}", asked.addr, error.as_deref().unwrap_or("-")),
        }
    }
    for agent in agents {
        println!(
            "{:<24} {:<16} version {}",
            agent.name, agent.service, agent.version
        );
    }
    println!("{:<24} {:>8} {:>8}  lagging", "record", "newest", "lowest");
    for row in rows {
        let lagging = row.lagging.join(", ");
        println!(
            "{:<24} {:>8} {:>8}  {lagging}",
            row.name, row.newest, row.lowest
        );
        if let Some(fault) = &row.fault {
            println!("    held: {fault}");
        }
    }
    if !differing.is_empty() {
        println!("told another digest: {}", differing.join(", "));
    }
}
