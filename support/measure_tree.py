#!/usr/bin/env python3
"""Compares two ways to repair a low fan-out dissemination tree when nodes leave
and join: backup parents chosen in advance (the shadow sets of Chen, Jacobsen
and Vitenberg), and attaching orphans to random nodes with spare capacity.
Simulates only the graph; a round is the time of one message between
neighbours."""
import random

FAN_OUT = 4
# Nodes that leave in one simulation; another joins after each.
LOSSES = 2000
BACKUPS = 3
# Rounds in which an orphan detects the loss of its parent, asks one candidate
# and is accepted.
ROUNDS_PER_ATTEMPT = 2


class Tree:
    def __init__(self, size, rng):
        self.rng = rng
        self.parent = {0: None}
        self.children = {0: set()}
        self.backups = {}
        self.next_node = 1
        while len(self.parent) < size:
            self.join()

    def has_spare_capacity(self, node):
        return len(self.children[node]) < FAN_OUT

    def subtree(self, node):
        found, stack = set(), [node]
        while stack:
            current = stack.pop()
            found.add(current)
            stack.extend(self.children[current])
        return found

    def attach(self, node, parent):
        self.parent[node] = parent
        self.children[parent].add(node)

    def join(self):
        node = self.next_node
        self.next_node += 1
        parent = self.rng.choice(
            [n for n in self.parent if self.has_spare_capacity(n)])
        self.children[node] = set()
        self.attach(node, parent)
        return node

    def choose_backups(self, node):
        """Chooses ancestors above the parent first, then random nodes."""
        chosen, ancestor = [], self.parent[node]
        while ancestor is not None and self.parent[ancestor] is not None:
            ancestor = self.parent[ancestor]
            chosen.append(ancestor)
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
        """Returns the links added and the rounds until all are connected."""
        orphans = list(self.children.pop(node))
        parent = self.parent.pop(node)
        self.children[parent].discard(node)
        links, rounds = 0, 0
        for orphan in orphans:
            descendants = self.subtree(orphan)
            attempts = 0
            candidates = list(self.backups.get(orphan, [])) if use_backups \
                else []
            random_nodes = [n for n in self.parent if n not in descendants]
            self.rng.shuffle(random_nodes)
            for candidate in candidates + random_nodes:
                attempts += 1
                usable = candidate in self.parent \
                    and candidate not in descendants \
                    and self.has_spare_capacity(candidate)
                if usable:
                    self.attach(orphan, candidate)
                    links += 1
                    break
            rounds = max(rounds, ROUNDS_PER_ATTEMPT * attempts)
        return links, rounds


def run(size, use_backups, seed):
    rng = random.Random(seed)
    tree = Tree(size, rng)
    links = rounds = backups_sent = 0
    for _ in range(LOSSES):
        if use_backups:
            for node in list(tree.parent):
                backups_present = all(b in tree.parent
                                      for b in tree.backups.get(node, [None]))
                if node and not backups_present:
                    tree.choose_backups(node)
                    backups_sent += BACKUPS
        removed = rng.choice([n for n in tree.parent if n])
        added, repair_rounds = tree.remove_node(removed, use_backups)
        links += added
        rounds += repair_rounds
        tree.join()
    deepest, mean = tree.depth()
    return (links / LOSSES, rounds / LOSSES, deepest, mean,
            backups_sent / LOSSES)


def main():
    print("| nodes | method | new links per loss | rounds to repair | deepest | "
          "mean depth | backups sent per loss |\n|---|---|---|---|---|---|---|")
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
