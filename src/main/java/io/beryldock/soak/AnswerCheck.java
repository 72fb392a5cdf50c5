package io.beryldock.soak;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Each request reaches its target whole, and a success is the target's whole answer to this very request. */
final class AnswerCheck implements PromiseCheck {

    /** Checksums of the bodies sent, by request; bodies themselves would fill the memory in a long run. */
    private final Map<String, Integer> bodies = new HashMap<>();

    private final Map<String, Integer> answers = new HashMap<>();

    @Override
    public void on(SoakEvent event, Consumer<String> broken) {
        if (event instanceof SoakEvent.Sent sent) {
            CallerRequest request = sent.request();
            bodies.put(request.id(), Payload.digest(request.body()));
            answers.put(request.id(), Payload.digest(Payload.answer(request.id(), request.body())));
        } else if (event instanceof SoakEvent.Ran run) {
            onRun(run, broken);
        } else if (event instanceof SoakEvent.Ended ended && ended.reply().isSuccess()) {
            onSuccess(ended, broken);
        }
    }

    private void onRun(SoakEvent.Ran run, Consumer<String> broken) {
        Integer sent = bodies.get(run.id());
        if (sent == null) {
            broken.accept("a target ran request " + run.id() + ", which nobody sent");
        } else if (sent != Payload.digest(run.body())) {
            broken.accept("request " + run.id() + " reached its target with another body than was sent");
        }
    }

    private void onSuccess(SoakEvent.Ended ended, Consumer<String> broken) {
        SoakEvent.Reply reply = ended.reply();
        if (!reply.echoedId().equals(ended.id())) {
            broken.accept("request " + ended.id() + " got the answer to " + reply.echoedId());
        } else if (!reply.signed()) {
            broken.accept("request " + ended.id() + " got a success that no target signed");
        } else if (!answers.get(ended.id()).equals(Payload.digest(reply.body()))) {
            broken.accept("request " + ended.id() + " got another body than the target's whole answer");
        }
    }
}
