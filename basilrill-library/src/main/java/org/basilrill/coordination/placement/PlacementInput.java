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
 * Input of a planning run. The collections do not change during the run.
 *
 * @param rows memory ledger; orders that are not committed yet are included as open orders
 * @param blockedTargets targets that receive no new order, because an order of an earlier controller is open there
 * @param freshTargets targets whose announcement was made after their last order had ended
 * @param avoided models not to load at a target, because a load there failed recently
 * @param availableLoads number of loads that the rate limit of the weight store allows now
 */
public record PlacementInput(
        Rules rules,
        List<LedgerRow> rows,
        Collection<TargetAnnouncement> announcements,
        Map<ModelId, ModelDemand> demand,
        Set<TargetId> blockedTargets,
        Set<TargetId> freshTargets,
        Map<TargetId, Set<ModelId>> avoided,
        int availableLoads) {}
