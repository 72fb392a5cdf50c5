// Generated from src/main/antlr/Operator.g4 by ANTLR 4.13.2
package io.beryldock.command.grammar;
import org.antlr.v4.runtime.tree.ParseTreeVisitor;

/**
 * This interface defines a complete generic visitor for a parse tree produced
 * by {@link OperatorParser}.
 *
 * @param <T> The return type of the visit operation. Use {@link Void} for
 * operations with no return type.
 */
public interface OperatorVisitor<T> extends ParseTreeVisitor<T> {
	/**
	 * Visit a parse tree produced by {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitStatement(OperatorParser.StatementContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#command}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitCommand(OperatorParser.CommandContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#explain}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitExplain(OperatorParser.ExplainContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#watch}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitWatch(OperatorParser.WatchContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#show}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShow(OperatorParser.ShowContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#shedOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShedOption(OperatorParser.ShedOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#grouping}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitGrouping(OperatorParser.GroupingContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#timelineOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitTimelineOption(OperatorParser.TimelineOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#targetOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitTargetOption(OperatorParser.TargetOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#serviceTopic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitServiceTopic(OperatorParser.ServiceTopicContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#serviceOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitServiceOption(OperatorParser.ServiceOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#nodeTopic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitNodeTopic(OperatorParser.NodeTopicContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#nodeOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitNodeOption(OperatorParser.NodeOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#documentTopic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDocumentTopic(OperatorParser.DocumentTopicContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#everywhere}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitEverywhere(OperatorParser.EverywhereContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#why}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitWhy(OperatorParser.WhyContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#change}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitChange(OperatorParser.ChangeContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#basedOn}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitBasedOn(OperatorParser.BasedOnContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#set}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSet(OperatorParser.SetContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#setClass}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSetClass(OperatorParser.SetClassContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#setBudget}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSetBudget(OperatorParser.SetBudgetContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#budgetOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitBudgetOption(OperatorParser.BudgetOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#setLimit}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSetLimit(OperatorParser.SetLimitContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#setRoute}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSetRoute(OperatorParser.SetRouteContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#routeMethods}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRouteMethods(OperatorParser.RouteMethodsContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#routeTarget}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRouteTarget(OperatorParser.RouteTargetContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#routeOption}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRouteOption(OperatorParser.RouteOptionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#remove}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRemove(OperatorParser.RemoveContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#mark}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitMark(OperatorParser.MarkContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#restore}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRestore(OperatorParser.RestoreContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#drain}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDrain(OperatorParser.DrainContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#undrain}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitUndrain(OperatorParser.UndrainContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#className}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitClassName(OperatorParser.ClassNameContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#budgetName}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitBudgetName(OperatorParser.BudgetNameContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#serviceName}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitServiceName(OperatorParser.ServiceNameContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#nodeId}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitNodeId(OperatorParser.NodeIdContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#method}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitMethod(OperatorParser.MethodContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#requestId}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRequestId(OperatorParser.RequestIdContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#prefix}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitPrefix(OperatorParser.PrefixContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#duration}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDuration(OperatorParser.DurationContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#share}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShare(OperatorParser.ShareContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#priority}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitPriority(OperatorParser.PriorityContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#retries}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRetries(OperatorParser.RetriesContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#slots}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSlots(OperatorParser.SlotsContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#version}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitVersion(OperatorParser.VersionContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#name}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitName(OperatorParser.NameContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#keyword}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitKeyword(OperatorParser.KeywordContext ctx);
}