package milletyoke.gateway.console;

/**
 * Which rows of a page are asked for.
 *
 * @param find text that a row's name must contain; empty for all
 * @param page number of the part of a long table, from 0
 */
record PageQuery(String find, int page) {
    static final PageQuery FIRST = new PageQuery("", 0);
}
