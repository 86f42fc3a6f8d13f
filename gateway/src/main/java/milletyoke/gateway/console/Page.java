package milletyoke.gateway.console;

/** Builds the content of one page. Called by all worker threads of the console. */
@FunctionalInterface
interface Page {
    /** Returns the page with only the content that the given scope may see. */
    PageView view(AccessScope scope, PageQuery query);
}
