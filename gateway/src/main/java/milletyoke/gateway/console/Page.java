package milletyoke.gateway.console;

/** Builds the content of one page. Called by any worker thread of the console. */
@FunctionalInterface
interface Page {
    /** The content that a viewer may see; nothing else may be left in it. */
    PageView view(AccessScope scope, PageQuery query);
}
