package org.basilrill.protocol.administration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.basilrill.coordination.placement.PlacementPlan.WaitingLoad;
import org.basilrill.coordination.placement.PlacementReason;
import org.basilrill.coordination.placement.PlacementStatus;
import org.basilrill.coordination.placement.PlacementStatus.MemoryStatus;
import org.basilrill.coordination.placement.PlacementStatus.ModelStatus;
import org.basilrill.coordination.placement.PlacementStatus.OrderStatus;

/** Describes the placement of models as JSON. Stateless and thread safe. */
public final class PlacementView {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private PlacementView() {}

    /**
     * Returns copies, reserved memory, open target orders and waiting loads. The field {@code active} is true on the
     * replica that controls placement.
     */
    public static ObjectNode describe(PlacementStatus status) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("active", status.active());
        ArrayNode models = body.putArray("models");
        status.models().forEach(model -> models.add(describe(model)));
        ArrayNode memory = body.putArray("memory");
        status.targets().forEach(target -> memory.add(describe(target)));
        ArrayNode orders = body.putArray("open_orders");
        status.openOrders().forEach(order -> orders.add(describe(order)));
        ArrayNode waiting = body.putArray("waiting_loads");
        status.waiting().forEach(load -> waiting.add(describe(load)));
        return body;
    }

    /** Returns the response of an instance without a replica of the control log, which has no memory ledger. */
    public static ObjectNode withoutReplica() {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("active", false);
        body.put("detail", "this instance has no replica of the control log; send the request to one that has");
        return body;
    }

    private static ObjectNode describe(ModelStatus model) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("model", model.model().value());
        ArrayNode ready = entry.putArray("ready_on");
        model.readyOn().forEach(target -> ready.add(target.value()));
        entry.put("tokens_per_second", model.demand().rate());
        entry.put("requests_waiting", model.demand().waiting());
        return entry;
    }

    private static ObjectNode describe(MemoryStatus target) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("target", target.target().value());
        entry.put("capacity_bytes", target.capacityBytes());
        entry.put("reserved_bytes", target.reservedBytes());
        entry.put("announced", target.announced());
        return entry;
    }

    private static ObjectNode describe(OrderStatus status) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("order", status.order().orderId());
        entry.put("target", status.order().target().value());
        entry.put("kind", status.order().kind().name().toLowerCase(Locale.ROOT));
        entry.put("model", status.order().model().value());
        entry.put("version", status.order().version());
        entry.put("bytes", status.order().bytes());
        entry.put("committed", status.committed());
        status.reason().map(PlacementReason::text).ifPresent(reason -> entry.put("reason", reason));
        return entry;
    }

    private static ObjectNode describe(WaitingLoad load) {
        ObjectNode entry = MAPPER.createObjectNode();
        entry.put("model", load.model().value());
        entry.put("reason", load.reason().text());
        entry.put("obstacle", load.obstacle().name().toLowerCase(Locale.ROOT));
        return entry;
    }
}
