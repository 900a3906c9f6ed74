"""Settings of the standalone programs, read at startup.

The name of each setting states its unit; its ``doc`` metadata states its purpose and is the
source of the reference page.
"""

from __future__ import annotations

import attrs

LOOPBACK_HOST = '127.0.0.1'


def _doc(text: str) -> dict[str, str]:
    return {'doc': text}


@attrs.frozen
class TlsSettings:
    """Certificate and key of a listener, in PEM files."""

    certificate_file: str = attrs.field(metadata=_doc('Path of the certificate chain.'))
    key_file: str = attrs.field(metadata=_doc('Path of the private key.'))
    reload_check_s: float = attrs.field(
        default=10.0, metadata=_doc('Pause between two checks of the files for a change.')
    )


@attrs.frozen
class EntrySettings:
    """The caller-facing HTTP listener and its limits."""

    http_port: int = attrs.field(
        default=0, metadata=_doc('TCP port for callers; 0 lets the system choose.')
    )
    peer_port: int = attrs.field(default=0, metadata=_doc('TCP port for peers; 0 as above.'))
    max_body_bytes: int = attrs.field(
        default=1 << 20, metadata=_doc('Largest body of a model request.')
    )
    body_timeout_s: float = attrs.field(
        default=10.0, metadata=_doc('Time within which a model request body must arrive.')
    )
    default_deadline_s: float = attrs.field(
        default=120.0, metadata=_doc('Deadline of a request that names none.')
    )
    connect_timeout_s: float = attrs.field(
        default=1.0, metadata=_doc('Time to open a connection to an upstream.')
    )
    balancer_notice_s: float = attrs.field(
        default=1.0,
        metadata=_doc('How long new connections are answered after readiness has failed.'),
    )
    drain_limit_s: float = attrs.field(
        default=60.0, metadata=_doc('Longest wait for running requests at a planned stop.')
    )
    retry_ratio: float = attrs.field(
        default=0.1, metadata=_doc('Retries allowed as a share of first tries.')
    )
    max_streams_per_upstream: int = attrs.field(
        default=64, metadata=_doc('Requests of this instance in flight at one upstream.')
    )
    tls: TlsSettings | None = attrs.field(
        default=None, metadata=_doc('TLS of the caller-facing listener; plain if absent.')
    )


@attrs.frozen
class PlacerSettings:
    """The placement program."""

    peer_port: int = attrs.field(default=0, metadata=_doc('TCP port for peers.'))
    lease_s: float = attrs.field(
        default=3.0, metadata=_doc('Life of the leader lease without a renewal.')
    )
    round_s: float = attrs.field(default=0.5, metadata=_doc('Pause between two placement rounds.'))
    order_life_s: float = attrs.field(
        default=5.0, metadata=_doc('An order has no effect when it arrives later than this.')
    )
    clock_margin_s: float = attrs.field(
        default=2.0,
        metadata=_doc('Added to the life of orders to upstreams that check no fence.'),
    )
    loads_per_s: float = attrs.field(
        default=1.0, metadata=_doc('Loads a second that this data centre may start.')
    )
    max_loads: int = attrs.field(
        default=10, metadata=_doc('Loads of this data centre that run at one time.')
    )


@attrs.frozen
class AdminSettings:
    """The operator RPC listener."""

    rpc_port: int = attrs.field(default=0, metadata=_doc('TCP port of the operator RPC.'))
    peer_port: int = attrs.field(default=0, metadata=_doc('TCP port for peers.'))
    token_file: str | None = attrs.field(
        default=None,
        metadata=_doc('File with the token that operators send; needed beyond loopback.'),
    )
    tls: TlsSettings | None = attrs.field(
        default=None, metadata=_doc('TLS of the RPC listener; plain if absent.')
    )


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services, and limits on their use."""

    table_url: str = attrs.field(metadata=_doc('Base URL of the table service.'))
    objects_url: str = attrs.field(metadata=_doc('Base URL of the object store.'))
    weights_url: str = attrs.field(metadata=_doc('Base URL of the weight store.'))
    instances_url: str = attrs.field(metadata=_doc('Base URL of the instance list.'))
    timeout_s: float = attrs.field(
        default=2.0, metadata=_doc('Deadline of one call to a platform service.')
    )
    calls_per_s: float = attrs.field(
        default=50.0, metadata=_doc('Calls a second that this process makes to one service.')
    )
    poll_s: float = attrs.field(
        default=0.5, metadata=_doc('Pause between two polls of the configuration revision.')
    )


@attrs.frozen
class PeerSettings:
    """Communication between the processes of limeshelf."""

    seeds: list[str] = attrs.field(
        factory=list,
        metadata=_doc('Peer addresses (ip:port) asked at the start, beside the list.'),
    )
    heartbeat_s: float = attrs.field(default=1.0, metadata=_doc('Pause between two heartbeats.'))
    silence_s: float = attrs.field(
        default=4.0, metadata=_doc('A peer unheard for this long counts as gone.')
    )
    report_s: float = attrs.field(
        default=0.25, metadata=_doc('Pause between two polls of a watched upstream.')
    )


@attrs.frozen
class MetricsSettings:
    """Destination of statsd metrics."""

    statsd_host: str | None = attrs.field(
        default=None, metadata=_doc('IP number of the statsd receiver; none sends nothing.')
    )
    statsd_port: int = attrs.field(default=8125, metadata=_doc('UDP port of the receiver.'))
    flush_s: float = attrs.field(
        default=1.0, metadata=_doc('Pause between two sendings of the counters.')
    )


@attrs.frozen
class LogSettings:
    """Format and extent of the log."""

    json_lines: bool = attrs.field(
        default=False, metadata=_doc('Write each line as a JSON object.')
    )
    decisions: bool = attrs.field(
        default=True, metadata=_doc('Write a line for each routing or placement decision.')
    )


@attrs.frozen
class Settings:
    """All settings of one instance; its programs read the same file."""

    instance_id: str = attrs.field(metadata=_doc('Name of this instance, unique everywhere.'))
    data_centre: str = attrs.field(metadata=_doc('Data centre of this instance.'))
    platform: PlatformSettings = attrs.field(metadata=_doc('The platform services.'))
    listen_host: str = attrs.field(
        default=LOOPBACK_HOST, metadata=_doc('IP number that every listener binds.')
    )
    entry: EntrySettings = attrs.field(factory=EntrySettings, metadata=_doc('The entry program.'))
    placer: PlacerSettings = attrs.field(
        factory=PlacerSettings, metadata=_doc('The placer program.')
    )
    admin: AdminSettings = attrs.field(factory=AdminSettings, metadata=_doc('The admin program.'))
    peers: PeerSettings = attrs.field(factory=PeerSettings, metadata=_doc('The peers.'))
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings, metadata=_doc('The metrics.'))
    logs: LogSettings = attrs.field(factory=LogSettings, metadata=_doc('The log lines.'))
