"""The store: the shared cache in memory that shields look into before they ask an origin."""

import typing

from irisstand import blackboard
from irisstand.ledger import serials
from irisstand.noticeboard import cache, decisions, objects, views


class Store:
    def __init__(self, board: blackboard.Board, view: views.Views) -> None:
        self.board, self.view = board, view
        self.cache = cache.Cache(board.boot.cache_bytes)
        board.postroom.handlers["look"] = self.on_look
        board.postroom.handlers["keep"] = self.on_keep

    async def on_look(self, _: str, body: list) -> tuple:
        key, path, floor = body
        now = self.board.clock.now()
        self.view.check_current()
        found = self.cache.get(key)
        if found is None:
            self.board.counters.add("cache", at="store", result="miss")
            return ()
        if not decisions.is_usable(found, path, self.view, serials.decode(floor), now):
            self.cache.drop(key)
            self.board.counters.add("cache", at="store", result="outlived")
            return ()
        self.board.counters.add("cache", at="store", result="hit")
        return objects.encode(found, now)

    async def on_keep(self, _: str, body: list) -> tuple:
        key, parts = body
        thing = objects.decode(parts, self.board.clock.now())
        known = self.cache.get(str(key))
        # Two shields may have fetched it: what was fetched under the newer tip stays.
        if known is None or known.tip <= thing.tip:
            self.cache.put(str(key), thing)
        return ()


def part(board: blackboard.Board, view: views.Views, connect: typing.Any) -> Store:
    return Store(board, view)
