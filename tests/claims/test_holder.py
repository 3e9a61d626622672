"""Tests of copying claims from a peer whose copy ends too early."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import msgspec

from poplarlug.claims import ClaimHolder, ClaimTable
from poplarlug.claims.holder import COPY_TOPIC, VOTE_EXPIRY_SECONDS
from poplarlug.claims.records import CopyPage, CopyRequest
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import MemoryNetwork, MemoryTransport
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase

COPY_SECONDS = 5.0


class CopyTests(QuietTestCase):
    def is_ready_after(self, *pages: CopyPage, fails: bool = False) -> bool:
        """Return whether a holder trusts what a peer has sent before its copy ended."""

        async def copy(sender: str, message: CopyRequest) -> AsyncIterator[bytes]:
            for page in pages:
                yield msgspec.msgpack.encode(page)
            if fails:
                raise OSError("the disk is gone")

        async def main() -> bool:
            network = MemoryNetwork(rng=Random(1))
            vms = tuple(
                EntryVm(name, "sierra", "quito-a", http="", peers="")
                for name in ("quito-a-1", "quito-a-2")
            )
            own, peer = (MemoryTransport(name=vm.name, network=network) for vm in vms)
            peer.serve_stream(COPY_TOPIC, CopyRequest, copy)
            clock = asyncio.get_running_loop().time
            holder = ClaimHolder(
                own=vms[0],
                topology=Topology("test", vms, ()),
                transport=own,
                table=ClaimTable(clock=clock),
                clock=clock,
                incarnation="run",
            )
            coroutines = (own.run(), peer.run(), holder.run())
            running = [asyncio.ensure_future(one) for one in coroutines]
            await asyncio.sleep(VOTE_EXPIRY_SECONDS + COPY_SECONDS)
            is_ready = holder.ready
            for task in running:
                task.cancel()
            return is_ready

        return run_virtual(main())

    def test_whole_copy_is_trusted(self) -> None:
        """A peer without claims sends one page."""
        self.assertTrue(self.is_ready_after(CopyPage("ready")))

    # Guards against a key that runs twice, as a holder missed claims of its peers.
    def test_copy_that_ends_early_is_not_trusted(self) -> None:
        """The peer fails, or ends its copy before the page that says that it is ready."""
        self.assertFalse(self.is_ready_after())
        self.assertFalse(self.is_ready_after(fails=True))
        self.assertFalse(self.is_ready_after(CopyPage("ready"), fails=True))
        self.assertFalse(self.is_ready_after(CopyPage("recovering")))
