"""Cost of requests by route and by the features that prove to matter.

All times are service times at a target of usual speed, in seconds.
"""

import math
from dataclasses import dataclass

from filbertdrift.balance.estimate import CostEstimate, RequestFeatures
from filbertdrift.balance.sketch import ServiceTimeSketch

# Estimate without any evidence, as the gate assumes.
FIRST_COST_S = 0.05
# Share of the variance of the logarithm that a feature has to explain beyond
# chance; with less, splitting costs more evidence than it gains.
MIN_EXPLAINED = 0.1
# Evidence before a feature may count.
MIN_TO_SPLIT = 50.0
# Another feature takes the place of the present one if it explains this much
# more, so that two that are equally good do not alternate.
EXPLAINED_LEAD = 0.1
# Features are compared after this many records of a class.
COMPARE_RECORDS = 64
# Evidence is halved after as many records, as in the sketch.
HALVING_RECORDS = 700
# Records that the estimate of the class above counts for.
PRIOR_RECORDS = 10.0
# Evidence from which a class states remaining times by itself.
MIN_FOR_REMAINING = 20.0
# Bounds of the state: some 5 MB a service at most.
MAX_ROUTES = 64
MAX_VALUES = 24
MAX_CLASSES = 256
# Levels of features below a route.
DEPTH = 2
MIN_TIME_S = 1e-4

_OTHER = object()
_FeatureValues = tuple[object, ...]


@dataclass(slots=True)
class _Moments:
    """Sums of the logarithms of some service times."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, logarithm: float) -> None:
        self.weight += 1
        self.total += logarithm
        self.squares += logarithm * logarithm

    def halve(self) -> None:
        self.weight /= 2
        self.total /= 2
        self.squares /= 2


class _Splitter:
    """Finds the feature that best explains the service times of a class.

    Attributes:
        chosen: Index of the feature, None while none counts.
    """

    def __init__(self, features: int) -> None:
        self.chosen: int | None = None
        self._whole = _Moments()
        self._groups: list[dict[object, _Moments]] = [
            {} for _ in range(features)
        ]
        self._records = 0

    def add(self, feature_values: _FeatureValues, logarithm: float) -> bool:
        """Record one service time; return whether another feature counts."""
        self._whole.add(logarithm)
        for found, feature in zip(self._groups, feature_values, strict=True):
            group = found.get(feature)
            if group is None:
                key = feature if len(found) < MAX_VALUES else _OTHER
                group = found.setdefault(key, _Moments())
            group.weight += 1
            group.total += logarithm
        self._records += 1
        if self._records % HALVING_RECORDS == 0:
            self._halve()
        if self._records % COMPARE_RECORDS:
            return False
        before = self.chosen
        self.chosen = self._find_best()
        return self.chosen != before

    def _find_best(self) -> int | None:
        if self._whole.weight < MIN_TO_SPLIT:
            return self.chosen
        explained = [self._explained(groups) for groups in self._groups]
        best = max(range(len(explained)), key=explained.__getitem__)
        present = self.chosen
        if present is not None and explained[present] >= MIN_EXPLAINED / 2:
            lead = explained[best] - explained[present]
            return best if lead >= EXPLAINED_LEAD else present
        return best if explained[best] >= MIN_EXPLAINED else None

    def _explained(self, groups: dict[object, _Moments]) -> float:
        """Return the share of the variance explained beyond chance.

        This is epsilon squared: unlike the plain share it does not grow with
        the number of values alone.
        """
        whole = self._whole
        free = whole.weight - len(groups)
        if len(groups) < 2 or free < 1:
            return 0
        centre = whole.total * whole.total / whole.weight
        total = whole.squares - centre
        between = (
            sum(group.total**2 / group.weight for group in groups.values())
            - centre
        )
        if total <= 0:
            return 0
        return 1 - (total - between) / free * (whole.weight - 1) / total

    def _halve(self) -> None:
        self._whole.halve()
        for groups in self._groups:
            for feature, group in list(groups.items()):
                group.halve()
                if group.weight < 1:
                    groups.pop(feature)


class _RequestClass:
    """Requests of a route, or those of them with some value of a feature."""

    __slots__ = ('children', 'sketch', 'splitter')

    def __init__(self, features: int) -> None:
        self.sketch = ServiceTimeSketch()
        self.splitter = _Splitter(features) if features else None
        self.children: dict[object, _RequestClass] = {}

    def find(self, feature_values: _FeatureValues) -> '_RequestClass | None':
        """Return the class within this one that a request belongs to."""
        if not self.children or self.splitter is None:
            return None
        chosen = self.splitter.chosen
        if chosen is None:
            return None
        return self.children.get(feature_values[chosen])


class CostModel:
    """Learns the cost of the requests of one service (a CostSource)."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._service = ServiceTimeSketch()
        self._routes: dict[str, _RequestClass] = {}
        # What other nodes expect of routes that are unknown here.
        self._suggested_s: dict[str, float] = {}
        self._classes = 0

    def estimate(self, features: RequestFeatures) -> CostEstimate:
        """Return the expected cost of a request.

        Args:
            features: What is known of it.
        """
        mean_s, high_s = self._start_of_estimate(features.route)
        found = self._routes.get(features.route)
        feature_values = _list_values(features)
        while found is not None:
            sketch = found.sketch
            share = sketch.weight / (sketch.weight + PRIOR_RECORDS)
            mean_s += (sketch.mean_s - mean_s) * share
            high_s += (sketch.high_s - high_s) * share
            found = found.find(feature_values)
        return CostEstimate(mean_s, high_s)

    def remaining_s(self, features: RequestFeatures, elapsed_s: float) -> float:
        """Return what a request is expected to need after it ran a while.

        Args:
            features: What was known of it before.
            elapsed_s: How long it has run, at usual speed.
        """
        sketch = self._service
        found = self._routes.get(features.route)
        feature_values = _list_values(features)
        while found is not None and found.sketch.weight >= MIN_FOR_REMAINING:
            sketch = found.sketch
            found = found.find(feature_values)
        if sketch.weight >= MIN_FOR_REMAINING:
            return sketch.remaining_s(elapsed_s)
        return max(self.estimate(features).mean_s - elapsed_s, elapsed_s / 2)

    def record(self, features: RequestFeatures, service_time_s: float) -> None:
        """Record the service time of a request that has ended.

        Args:
            features: What was known of it before.
            service_time_s: How long a target of usual speed runs it.
        """
        service_time_s = max(service_time_s, MIN_TIME_S)
        logarithm = math.log(service_time_s)
        self._service.record(service_time_s)
        feature_values = _list_values(features)
        found = self._find_route(features.route)
        depth = DEPTH
        while found is not None:
            found.sketch.record(service_time_s)
            splitter = found.splitter
            if splitter is None:
                return
            if splitter.add(feature_values, logarithm):
                self._classes -= _count_below(found)
                found.children.clear()
            depth -= 1
            found = self._find_child(found, splitter, feature_values, depth)

    def suggest(self, route: str, cost_s: float) -> None:
        """Record what another node expects of a route unknown here.

        Args:
            route: The route's name.
            cost_s: The expected cost.
        """
        if len(self._suggested_s) < MAX_ROUTES:
            self._suggested_s[route] = cost_s

    def knows(self, route: str) -> bool:
        """Return whether there is evidence of a route."""
        return route in self._routes

    def _start_of_estimate(self, route: str) -> tuple[float, float]:
        suggested_s = self._suggested_s.get(route)
        if suggested_s is not None:
            return suggested_s, suggested_s * 2
        sketch = self._service
        share = sketch.weight / (sketch.weight + PRIOR_RECORDS)
        return (
            FIRST_COST_S + (sketch.mean_s - FIRST_COST_S) * share,
            2 * FIRST_COST_S + (sketch.high_s - 2 * FIRST_COST_S) * share,
        )

    def _find_route(self, route: str) -> _RequestClass | None:
        found = self._routes.get(route)
        if found is None and len(self._routes) < MAX_ROUTES:
            found = self._new_class(DEPTH)
            if found is not None:
                self._routes[route] = found
        return found

    def _find_child(
        self,
        parent: _RequestClass,
        splitter: _Splitter,
        feature_values: _FeatureValues,
        depth: int,
    ) -> _RequestClass | None:
        if splitter.chosen is None:
            return None
        feature = feature_values[splitter.chosen]
        child = parent.children.get(feature)
        if child is None and len(parent.children) < MAX_VALUES:
            child = self._new_class(depth)
            if child is not None:
                parent.children[feature] = child
        return child

    def _new_class(self, depth: int) -> _RequestClass | None:
        if self._classes >= MAX_CLASSES:
            return None
        self._classes += 1
        return _RequestClass(_FEATURES if depth > 0 else 0)


class CostModels:
    """The cost models of a node, one for each service."""

    def __init__(self) -> None:
        """Start without models."""
        self._models: dict[str, CostModel] = {}

    def of(self, service: str) -> CostModel:
        """Return the model of a service.

        Args:
            service: The service's name.
        """
        model = self._models.get(service)
        if model is None:
            model = CostModel()
            self._models[service] = model
        return model


def _list_values(features: RequestFeatures) -> _FeatureValues:
    return (
        features.account,
        features.method,
        features.path_shape,
        features.body_bytes.bit_length(),
        features.caller,
    )


def _count_below(parent: _RequestClass) -> int:
    return sum(1 + _count_below(child) for child in parent.children.values())


_FEATURES = len(_list_values(RequestFeatures('')))
