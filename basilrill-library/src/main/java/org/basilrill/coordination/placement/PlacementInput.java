package org.basilrill.coordination.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * All that a decision depends on. The collections are not changed while the decision is made.
 *
 * @param rows memory ledger, with intents that are not committed yet as open orders
 * @param closed targets that get no new order, because an order of an earlier controller is open there
 * @param settled targets whose announcement was made after the last order there had ended
 * @param avoided models not to load at a target, because that failed lately
 * @param storeTokens loads that the rate of the weight store allows now
 */
public record PlacementInput(
        Rules rules,
        List<LedgerRow> rows,
        Collection<TargetAnnouncement> announcements,
        Map<ModelId, ModelDemand> demand,
        Set<TargetId> closed,
        Set<TargetId> settled,
        Map<TargetId, Set<ModelId>> avoided,
        int storeTokens) {}
