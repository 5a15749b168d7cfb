#!/usr/bin/env python3
"""Compares two ways to mend a low fan-out dissemination tree when nodes come
and go: backup parents kept in advance (the shadow sets of Chen, Jacobsen and
Vitenberg) and attaching orphans to random nodes with room. On the graph alone;
one round is one message between neighbours."""
import random

FAN_OUT = 4
ROUNDS = 2000
BACKUPS = 3
# Rounds until an orphan notices, asks one candidate, and is taken.
ROUNDS_PER_ATTEMPT = 2


class Tree:
    def __init__(self, size, rng):
        self.rng = rng
        self.parent = {0: None}
        self.children = {0: set()}
        self.backups = {}
        self.next = 1
        while len(self.parent) < size:
            self.join()

    def has_spare_capacity(self, node):
        return len(self.children[node]) < FAN_OUT

    def subtree(self, node):
        found, stack = set(), [node]
        while stack:
            top = stack.pop()
            found.add(top)
            stack.extend(self.children[top])
        return found

    def attach(self, node, parent):
        self.parent[node] = parent
        self.children[parent].add(node)

    def join(self):
        node = self.next
        self.next += 1
        parent = self.rng.choice(
            [n for n in self.parent if self.has_spare_capacity(n)])
        self.children[node] = set()
        self.attach(node, parent)
        return node

    def choose_backups(self, node):
        """Ancestors above the parent first, then nodes at random."""
        chosen, at = [], self.parent[node]
        while at is not None and self.parent[at] is not None:
            at = self.parent[at]
            chosen.append(at)
        others = [n for n in self.parent if n not in chosen and n != node]
        chosen += self.rng.sample(others, min(BACKUPS, len(others)))
        self.backups[node] = chosen[:BACKUPS]

    def depth(self):
        depths, stack = [], [(0, 0)]
        while stack:
            node, level = stack.pop()
            depths.append(level)
            stack.extend((c, level + 1) for c in self.children[node])
        return max(depths), sum(depths) / len(depths)

    def remove_node(self, node, use_backups):
        """Returns links added and rounds until all are connected again."""
        orphans = list(self.children.pop(node))
        parent = self.parent.pop(node)
        self.children[parent].discard(node)
        links, rounds = 0, 0
        for orphan in orphans:
            own = self.subtree(orphan)
            asked = 0
            candidates = list(self.backups.get(orphan, [])) if use_backups \
                else []
            rest = [n for n in self.parent if n not in own]
            self.rng.shuffle(rest)
            for candidate in candidates + rest:
                asked += 1
                usable = candidate in self.parent and candidate not in own \
                    and self.has_spare_capacity(candidate)
                if usable:
                    self.attach(orphan, candidate)
                    links += 1
                    break
            rounds = max(rounds, ROUNDS_PER_ATTEMPT * asked)
        return links, rounds


def run(size, use_backups, seed):
    rng = random.Random(seed)
    tree = Tree(size, rng)
    links = rounds = kept = 0
    for _ in range(ROUNDS):
        if use_backups:
            for node in list(tree.parent):
                fresh = all(b in tree.parent
                            for b in tree.backups.get(node, [None]))
                if node and not fresh:
                    tree.choose_backups(node)
                    kept += BACKUPS
        victim = rng.choice([n for n in tree.parent if n])
        added, repair_rounds = tree.remove_node(victim, use_backups)
        links += added
        rounds += repair_rounds
        tree.join()
    deepest, mean = tree.depth()
    return (links / ROUNDS, rounds / ROUNDS, deepest, mean, kept / ROUNDS)


def main():
    print("| nodes | way | new links per loss | rounds to mend | deepest | mean "
          "depth | backups told per loss |\n|---|---|---|---|---|---|---|")
    for size in (20, 78, 310):
        for use_backups in (False, True):
            name = "backup parents" if use_backups else "random"
            results = [run(size, use_backups, seed) for seed in range(3)]
            means = [sum(column) / len(column) for column in zip(*results)]
            print(f"| {size} | {name} | " +
                  " | ".join(f"{value:.2f}" for value in means) + " |",
                  flush=True)


if __name__ == "__main__":
    main()
