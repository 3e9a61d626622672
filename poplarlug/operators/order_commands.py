"""Commands for upstreams and orders to them."""

import uuid
from typing import Any

from poplarlug.operators.output import print_rows
from poplarlug.operators.session import (
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    Session,
    fail,
    unwrap_or_exit,
)
from poplarlug.schema import operators_pb2 as pb


class UpstreamCommands:
    """Upstreams, as the entries of their zones list them."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self, zone: str = "") -> None:
        """List the upstreams of ZONE, or of all zones."""
        reply = self._session.call(
            lambda stub: stub.Upstreams, pb.UpstreamsRequest(zone=zone)
        )
        rows: list[dict[str, Any]] = [
            {
                "id": upstream.id,
                "kind": upstream.kind,
                "region": upstream.region,
                "zone": upstream.zone,
                "address": upstream.address,
                "state": upstream.state,
                "models": tuple(upstream.models),
                "services": tuple(upstream.services),
                "running": upstream.running,
                "queued": upstream.queued,
            }
            for upstream in reply.upstreams
        ]
        print_rows(rows, self._session.options.output)
        if reply.zones_not_reached:
            zones = ", ".join(reply.zones_not_reached)
            fail(EXIT_REFUSED, f"zones not reached: {zones}")


class OrderCommands:
    """Orders to one upstream; an order resent with the same ORDER_ID runs once."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def load(self, zone: str, upstream: str, model: str, order_id: str = "") -> None:
        """Load MODEL from the weight store."""
        self._send("load", zone, upstream, model, "", order_id)

    def unload(self, zone: str, upstream: str, model: str, order_id: str = "") -> None:
        """Unload MODEL."""
        self._send("unload", zone, upstream, model, "", order_id)

    def adapter(
        self, zone: str, upstream: str, model: str, adapter: str, order_id: str = ""
    ) -> None:
        """Load ADAPTER of MODEL from the weight store."""
        self._send("adapter", zone, upstream, model, adapter, order_id)

    def version(
        self, zone: str, upstream: str, model: str, version: str, order_id: str = ""
    ) -> None:
        """Change MODEL to VERSION."""
        self._send("version", zone, upstream, model, version, order_id)

    def role(self, zone: str, upstream: str, role: str, order_id: str = "") -> None:
        """Change the upstream's role, for example to 'prefill' or 'decode'."""
        self._send("role", zone, upstream, "", role, order_id)

    def _send(
        self,
        action: str,
        zone: str,
        upstream: str,
        model: str,
        argument: str,
        order_id: str,
    ) -> None:
        request = pb.OrderRequest(
            order_id=str(order_id) or uuid.uuid4().hex,
            upstream_id=str(upstream),
            zone=str(zone),
            action=action,
            model=str(model),
            argument=str(argument),
        )
        reply = unwrap_or_exit(self._session.client().order(request))
        if reply.status == pb.OrderReply.UNKNOWN:
            fail(
                EXIT_UNKNOWN,
                f"{reply.message}; resend with --order_id={request.order_id}",
            )
        if reply.status == pb.OrderReply.REFUSED:
            fail(EXIT_REFUSED, reply.message)
        row = {
            "order_id": request.order_id,
            "status": "done",
            "fencing_number": reply.fencing_number,
            "message": reply.message,
        }
        print_rows([row], self._session.options.output)
